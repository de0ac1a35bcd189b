//! Protocol between entries and sides: QUIC connections with mutual TLS and postcard frames.
//!
//! An entry dials sides with a [`Dialer`] and gets a [`Link`] to each. A side accepts entries with a
//! [`Listener`] and gets a [`Connection`] from each. The first stream of a connection is the control
//! stream: both ends send a [`Hello`], then heartbeats. Each attempt has a stream of its own.
//!
//! Closing the sending half of an attempt's stream cancels the attempt. That is what dropping an
//! [`Attempt`] does, and what a broken connection amounts to, so no cancel can be forgotten.

mod error;
mod frame;
mod hello;
mod keys;
mod limits;
mod link;
mod listener;
mod message;
mod pulse;
mod session;

pub use error::{FrameError, WireError};
pub use frame::Codec;
pub use hello::{Hello, Local, PROTOCOL, PeerId};
pub use keys::Keys;
pub use limits::Limits;
pub use link::{Attempt, Dialer, Link};
pub use listener::{AskReply, Connection, Listener, Peer, Rejected, Reply, Request, Ticket};
pub use message::{PullRequest, ToEntry, Work};
