package statement

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// parser reads one statement.
var parser = participle.MustBuild[line](
	participle.Lexer(definition),
	participle.CaseInsensitive(classWord),
	participle.Elide(classComment, classSpace),
	participle.UseLookahead(1),
)

// line is one statement with its condition.
type line struct {
	Pos lexer.Position

	Create  *create    `parser:"( 'create' @@"`
	Alter   *alter     `parser:"| 'alter' @@"`
	Drop    *drop      `parser:"| 'drop' @@"`
	Drain   *Drain     `parser:"| 'drain' @@"`
	Undrain *Drain     `parser:"| 'undrain' @@"`
	Rotate  *RotateKey `parser:"| 'rotate' 'operator' @@"`
	Convict *Convict   `parser:"| 'convict' @@"`
	Pardon  *Pardon    `parser:"| 'pardon' @@"`
	Show    *Show      `parser:"| 'show' @@"`
	Explain *Explain   `parser:"| 'explain' @@ )"`
	Base    Revision   `parser:"( 'if' 'revision' @Word )?"`
}

// create is what may be created.
type create struct {
	User     *CreateUser     `parser:"'user' @@"`
	Service  *CreateService  `parser:"| 'service' @@"`
	Upstream *CreateUpstream `parser:"| 'upstream' @@"`
	Operator *CreateOperator `parser:"| 'operator' @@"`
}

// alter is what may be altered.
type alter struct {
	User     *AlterUser     `parser:"'user' @@"`
	Service  *AlterService  `parser:"| 'service' @@"`
	Upstream *AlterUpstream `parser:"| 'upstream' @@"`
}

// drop is what may be dropped.
type drop struct {
	User     *DropUser     `parser:"'user' @@"`
	Service  *DropService  `parser:"| 'service' @@"`
	Upstream *DropUpstream `parser:"| 'upstream' @@"`
	Operator *DropOperator `parser:"| 'operator' @@"`
}

// CreateUser adds a user.
type CreateUser struct {
	Pos     lexer.Position
	Name    Name          `parser:"@Word"`
	Options []*UserOption `parser:"@@*"`
}

// AlterUser changes a user.
type AlterUser struct {
	Pos     lexer.Position
	Name    Name          `parser:"@Word 'set'"`
	Options []*UserOption `parser:"@@ @@*"`
}

// DropUser removes a user that owns nothing.
type DropUser struct {
	Pos  lexer.Position
	Name Name `parser:"@Word"`
}

// UserOption is one setting of a user; exactly one field is set.
type UserOption struct {
	Pos      lexer.Position
	Weight   *Count `parser:"'weight' @Word"`
	Rate     *Rate  `parser:"| 'rate' @Word"`
	InFlight *Limit `parser:"| 'in' 'flight' @Word"`
}

// CreateService adds a service.
type CreateService struct {
	Pos       lexer.Position
	Name      Name             `parser:"@Word"`
	User      Name             `parser:"'for' @Word"`
	Options   []*ServiceOption `parser:"@@*"`
	Upstreams []*NewUpstream   `parser:"( 'upstream' @@ )*"`
}

// AlterService changes the services that a pattern and conditions match.
type AlterService struct {
	Pos     lexer.Position
	Pattern Pattern          `parser:"@Word"`
	Where   *Where           `parser:"( 'where' @@ )?"`
	Options []*ServiceOption `parser:"'set' @@ @@*"`
}

// DropService removes services with their upstreams.
type DropService struct {
	Pos     lexer.Position
	Pattern Pattern `parser:"@Word"`
	Where   *Where  `parser:"( 'where' @@ )?"`
}

// ServiceOption is one setting of a service's policy; exactly one field is set.
type ServiceOption struct {
	Pos      lexer.Position
	Answer   *AnswerOption `parser:"'answer' @@"`
	Deadline *Duration     `parser:"| 'deadline' @Word"`
	Coverage *Percent      `parser:"| 'coverage' 'at' 'least' @Word"`
	Repeat   *YesNo        `parser:"| 'repeat' @Word"`
	Hedge    *Percent      `parser:"| 'hedge' 'budget' @Word"`
	Retry    *Percent      `parser:"| 'retry' 'budget' @Word"`
	Canary   *YesNo        `parser:"| 'canary' @Word"`
	Refuse   *RefuseOption `parser:"| 'refuse' @@"`
	Rate     *Rate         `parser:"| 'rate' @Word"`
}

// AnswerOption tells when a search answers with what it has.
type AnswerOption struct {
	By         *Duration `parser:"'by' @Word"`
	AtDeadline bool      `parser:"| @'at' 'deadline'"`
}

// RefuseOption tells how many sub-requests may wait, and how long.
type RefuseOption struct {
	Queue *Count    `parser:"( 'queue' @Word"`
	Wait  *Duration `parser:"( 'wait' @Word )? )"`
	Alone *Duration `parser:"| 'wait' @Word"`
}

// NewUpstream is an upstream within the statement that makes its service.
type NewUpstream struct {
	Pos     lexer.Position
	Name    Name              `parser:"@Word"`
	Options []*UpstreamOption `parser:"@@ @@*"`
}

// CreateUpstream adds an upstream to a service.
type CreateUpstream struct {
	Pos     lexer.Position
	Name    UpstreamName      `parser:"@Word"`
	Options []*UpstreamOption `parser:"@@ @@*"`
}

// AlterUpstream changes the upstreams that a pattern and conditions match.
type AlterUpstream struct {
	Pos     lexer.Position
	Pattern UpstreamPattern   `parser:"@Word"`
	Where   *Where            `parser:"( 'where' @@ )?"`
	Options []*UpstreamOption `parser:"'set' @@ @@*"`
}

// DropUpstream removes upstreams.
type DropUpstream struct {
	Pos     lexer.Position
	Pattern UpstreamPattern `parser:"@Word"`
	Where   *Where          `parser:"( 'where' @@ )?"`
}

// UpstreamOption is one setting of an upstream; exactly one field is set.
type UpstreamOption struct {
	Pos         lexer.Position
	At          *Address `parser:"'at' @Word"`
	In          *Name    `parser:"| 'in' @Word"`
	Shard       *Name    `parser:"| 'shard' @Word"`
	Slots       *Count   `parser:"| 'slots' @Word"`
	Connections *Count   `parser:"| 'connections' @Word"`
	Draining    bool     `parser:"| @'draining'"`
}

// Drain takes upstreams or an entry host out of service, or back in.
type Drain struct {
	Pos      lexer.Position
	Upstream *UpstreamPattern `parser:"( 'upstream' @Word"`
	Where    *Where           `parser:"( 'where' @@ )?"`
	Host     *Name            `parser:"| 'host' @Word )"`
	// Lift is true for undrain.
	Lift bool
}

// CreateOperator adds an operator, who may be limited to one user's services.
type CreateOperator struct {
	Pos  lexer.Position
	Name Name  `parser:"@Word"`
	User *Name `parser:"( 'for' @Word )?"`
	Hash Value `parser:"'key' 'hash' @Text"`
}

// RotateKey replaces an operator's key.
type RotateKey struct {
	Pos  lexer.Position
	Name Name  `parser:"@Word"`
	Hash Value `parser:"'key' 'hash' @Text"`
}

// DropOperator removes an operator.
type DropOperator struct {
	Pos  lexer.Position
	Name Name `parser:"@Word"`
}

// Convict refuses a request content that crashes upstreams.
type Convict struct {
	Tokens      []lexer.Token
	Pos         lexer.Position
	Service     Name        `parser:"@Word"`
	Fingerprint Fingerprint `parser:"'fingerprint' @Word"`
	For         *Duration   `parser:"( 'for' @Word"`
	Until       *Time       `parser:"| 'until' @Word )?"`
}

// Pardon lifts a conviction.
type Pardon struct {
	Pos         lexer.Position
	Service     Name        `parser:"@Word"`
	Fingerprint Fingerprint `parser:"'fingerprint' @Word"`
}

// Show asks for a table.
type Show struct {
	Pos     lexer.Position
	Subject Subject  `parser:"@( 'services' | 'upstreams' | 'users' | 'operators' | 'limits' | 'config' | 'inforce' | 'change' | 'history' | 'sessions' | 'convictions' | 'members' | 'budgets' )"`
	Service *Name    `parser:"( 'service' @Word )?"`
	Name    *Pattern `parser:"( (?! 'where' | 'if' | 'service' ) @Word )?"`
	Where   *Where   `parser:"( 'where' @@ )?"`
}

// Explain asks what the tier would do with a request of a service now.
type Explain struct {
	Pos     lexer.Position
	Service Name `parser:"@Word"`
}

// Where holds conditions that a row must meet, all of them.
type Where struct {
	Conditions []*Condition `parser:"@@ ( 'and' @@ )*"`
}

// Condition compares a column with a value.
type Condition struct {
	Pos    lexer.Position
	Column Column   `parser:"@Word"`
	Test   Operator `parser:"@( Comparison | 'like' )"`
	Value  Value    `parser:"@( Word | Text )"`
}
