//! Protocol between entries and sides.
