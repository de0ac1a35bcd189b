//! Listening sockets of the stand-ins.

use salvo::conn::tcp::TcpAcceptor;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::TcpSocket;

/// Most connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Listens on a free loopback port with `TCP_NODELAY` set. Without it, each small write of a token
/// stream waits for the acknowledgement of the previous one, which may take 40 ms.
pub(crate) fn listen() -> io::Result<(SocketAddr, TcpAcceptor)> {
    let socket = TcpSocket::new_v4()?;
    socket.set_nodelay(true)?;
    socket.bind((Ipv4Addr::LOCALHOST, 0).into())?;
    let listener = socket.listen(BACKLOG)?;
    Ok((listener.local_addr()?, TcpAcceptor::try_from(listener)?))
}
