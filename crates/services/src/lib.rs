//! Client of plain services.
