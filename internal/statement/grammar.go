package statement

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// parser parses one statement.
var parser = participle.MustBuild[statement](
	participle.Lexer(definition),
	participle.CaseInsensitive(classWord),
	participle.Elide(classComment, classSpace),
	participle.UseLookahead(1),
)

// statement is one statement with its optional base revision.
type statement struct {
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

// create is the object of a create statement; exactly one field is set.
type create struct {
	User     *CreateUser     `parser:"'user' @@"`
	Service  *CreateService  `parser:"| 'service' @@"`
	Upstream *CreateUpstream `parser:"| 'upstream' @@"`
	Operator *CreateOperator `parser:"| 'operator' @@"`
}

// alter is the object of an alter statement; exactly one field is set.
type alter struct {
	User     *AlterUser     `parser:"'user' @@"`
	Service  *AlterService  `parser:"| 'service' @@"`
	Upstream *AlterUpstream `parser:"| 'upstream' @@"`
}

// drop is the object of a drop statement; exactly one field is set.
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

// DropUser removes a user that has neither services nor operators.
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

// DropService removes the services that a pattern and conditions match, with their
// upstreams.
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

// AnswerOption sets the time at which a search answers with the results it has.
type AnswerOption struct {
	By         *Duration `parser:"'by' @Word"`
	AtDeadline bool      `parser:"| @'at' 'deadline'"`
}

// RefuseOption sets how many sub-requests may wait for a slot, and how long.
// WaitOnly is the wait of a statement without a queue length.
type RefuseOption struct {
	Queue    *Count    `parser:"( 'queue' @Word"`
	Wait     *Duration `parser:"( 'wait' @Word )? )"`
	WaitOnly *Duration `parser:"| 'wait' @Word"`
}

// NewUpstream is an upstream within the statement that creates its service.
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

// DropUpstream removes the upstreams that a pattern and conditions match.
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

// Drain drains or undrains upstreams or an entry host.
type Drain struct {
	Pos      lexer.Position
	Upstream *UpstreamPattern `parser:"( 'upstream' @Word"`
	Where    *Where           `parser:"( 'where' @@ )?"`
	Host     *Name            `parser:"| 'host' @Word )"`
	// Undrain is true for an undrain statement.
	Undrain bool
}

// CreateOperator adds an operator, which may be limited to one user's services.
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

// Convict blocks request content that crashes upstreams, until an operator
// unblocks it or for a limited time.
type Convict struct {
	Tokens      []lexer.Token
	Pos         lexer.Position
	Service     Name        `parser:"@Word"`
	Fingerprint Fingerprint `parser:"'fingerprint' @Word"`
	For         *Duration   `parser:"( 'for' @Word"`
	Until       *Time       `parser:"| 'until' @Word )?"`
}

// Pardon unblocks request content.
type Pardon struct {
	Pos         lexer.Position
	Service     Name        `parser:"@Word"`
	Fingerprint Fingerprint `parser:"'fingerprint' @Word"`
}

// Show requests a table or a text; see Subject.
type Show struct {
	Pos     lexer.Position
	Subject Subject  `parser:"@( 'services' | 'upstreams' | 'users' | 'operators' | 'limits' | 'config' | 'inforce' | 'change' | 'history' | 'sessions' | 'convictions' | 'members' | 'budgets' )"`
	Service *Name    `parser:"( 'service' @Word )?"`
	Name    *Pattern `parser:"( (?! 'where' | 'if' | 'service' ) @Word )?"`
	Where   *Where   `parser:"( 'where' @@ )?"`
}

// Explain asks how the nodes would handle a request of a service now.
type Explain struct {
	Pos     lexer.Position
	Service Name `parser:"@Word"`
}

// Where holds conditions, all of which a row must meet.
type Where struct {
	Conditions []*Condition `parser:"@@ ( 'and' @@ )*"`
}

// Condition compares a column with a value.
type Condition struct {
	Pos        lexer.Position
	Column     Column     `parser:"@Word"`
	Comparison Comparison `parser:"@( Comparison | 'like' )"`
	Value      Value      `parser:"@( Word | Text )"`
}
