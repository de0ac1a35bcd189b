//! Listening sockets of the stand-ins.

use salvo::conn::tcp::TcpAcceptor;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::TcpSocket;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Listens on a free loopback port. Connections send small writes at once, as streams of tokens need:
/// otherwise each waits for the acknowledgement of the one before, which may take 40 ms.
pub(crate) fn listen() -> io::Result<(SocketAddr, TcpAcceptor)> {
    let socket = TcpSocket::new_v4()?;
    socket.set_nodelay(true)?;
    socket.bind((Ipv4Addr::LOCALHOST, 0).into())?;
    let listener = socket.listen(BACKLOG)?;
    Ok((listener.local_addr()?, TcpAcceptor::try_from(listener)?))
}
