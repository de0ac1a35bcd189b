//! A requester.

use crate::net::{Conn, Message, now_ms};
use std::net::SocketAddr;
use std::time::Duration;

/// Pieces of a request with a stage.
pub const PIECES: u64 = 8;

/// A request and its answer.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub id: String,
    pub path: String,
    pub sent_ms: u64,
    pub ended_ms: u64,
    /// `None` if the channel ended without an answer.
    pub answer: Option<Message>,
}

impl Exchange {
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, Message::status)
    }

    pub fn body(&self) -> String {
        let body = self.answer.as_ref().map(|answer| String::from_utf8_lossy(&answer.body));
        body.unwrap_or_default().into_owned()
    }

    /// Whether the answer is a success that ended as its framing says.
    pub fn is_whole(&self) -> bool {
        self.status() == 200 && self.answer.as_ref().is_some_and(|answer| answer.complete)
    }
}

/// Sends a request on a new channel.
pub fn send(entry: SocketAddr, method: &str, path: &str, id: &str, deadline_ms: u64) -> Exchange {
    let sent_ms = now_ms();
    let mut exchange =
        Exchange { id: id.to_owned(), path: path.to_owned(), sent_ms, ended_ms: 0, answer: None };
    if let Ok(mut conn) = Conn::connect(entry, Duration::from_secs(1)) {
        let length = match (method, path) {
            ("GET", _) => String::new(),
            (_, "/layout/") => {
                format!("Content-Length: 0\r\nPieces: {PIECES}\r\nPiece-Key: 7c1e07a2\r\n")
            }
            _ => "Content-Length: 0\r\n".to_owned(),
        };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: board.example\r\nAttempt-Id: {id}\r\n\
             Deadline-Ms: {deadline_ms}\r\nX-Api-Key: secret-key\r\n{length}\r\n"
        );
        let wait = Duration::from_millis(deadline_ms + 1_000);
        conn.stream.set_read_timeout(Some(wait)).ok();
        if conn.send(text.as_bytes()).is_ok() {
            exchange.answer = conn.read().ok().flatten();
        }
    }
    exchange.ended_ms = now_ms();
    exchange
}
