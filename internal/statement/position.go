package statement

// PositionOf returns the position of a change in its text, or the zero Position for
// a change that is not part of a text.
func PositionOf(change Change) Position {
	switch c := change.(type) {
	case *CreateUser:
		return position(c.Pos)
	case *AlterUser:
		return position(c.Pos)
	case *DropUser:
		return position(c.Pos)
	case *CreateService:
		return position(c.Pos)
	case *AlterService:
		return position(c.Pos)
	case *DropService:
		return position(c.Pos)
	case *CreateUpstream:
		return position(c.Pos)
	case *AlterUpstream:
		return position(c.Pos)
	case *DropUpstream:
		return position(c.Pos)
	case *Drain:
		return position(c.Pos)
	case *CreateOperator:
		return position(c.Pos)
	case *RotateKey:
		return position(c.Pos)
	case *DropOperator:
		return position(c.Pos)
	case *Convict:
		return position(c.Pos)
	case *Pardon:
		return position(c.Pos)
	default:
		return Position{}
	}
}
