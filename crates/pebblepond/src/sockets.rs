//! Creates sockets with the options that all connections of this program use.

use config::constants as c;
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use std::io;
use std::mem::MaybeUninit;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Sets the options of all TCP connections: no delay, a user timeout and keep-alive.
fn set_options(stream: &TcpStream) -> io::Result<()> {
    set_options_for(stream, u64::from(c::TCP_USER_TIMEOUT_MS))
}

fn set_options_for(stream: &TcpStream, user_timeout_ms: u64) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(Duration::from_millis(user_timeout_ms)))?;
    let interval = Duration::from_secs(c::TCP_KEEPALIVE_S);
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(interval).with_interval(interval))
}

/// Listens on a TCP address.
pub fn listen(address: SocketAddrV4) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::V4(address).into())?;
    socket.listen(c::LISTEN_BACKLOG as i32)?;
    TcpListener::from_std(socket.into())
}

/// Accepts the next connection and sets the common options. `retry_ms` is the pause after a failed
/// accept, in milliseconds.
pub async fn accept(listener: &TcpListener, retry_ms: u64) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if set_options(&stream).is_ok() => return stream,
            Ok(_) => {}
            Err(_) => tokio::time::sleep(Duration::from_millis(retry_ms)).await,
        }
    }
}

/// Connects to a peer within `connect_timeout_ms`.
pub async fn connect(address: &str, connect_timeout_ms: u64) -> io::Result<TcpStream> {
    connect_with_user_timeout(address, connect_timeout_ms, u64::from(c::TCP_USER_TIMEOUT_MS)).await
}

/// Connects within `connect_timeout_ms`, with a TCP user timeout of `user_timeout_ms`. Dropping the
/// connection resets it instead of closing it, so that undelivered data is discarded. Otherwise
/// bytes held up by a network partition would arrive once the link is restored, long after the
/// call was abandoned.
pub async fn connect_with_reset_on_drop(
    address: &str,
    connect_timeout_ms: u64,
    user_timeout_ms: u64,
) -> io::Result<TcpStream> {
    let stream = connect_with_user_timeout(address, connect_timeout_ms, user_timeout_ms).await?;
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}

async fn connect_with_user_timeout(
    address: &str,
    connect_timeout_ms: u64,
    user_timeout_ms: u64,
) -> io::Result<TcpStream> {
    let address: SocketAddr = address
        .parse()
        .map_err(|_| io::Error::new(io::ErrorKind::InvalidInput, "not a socket address"))?;
    let stream = tokio::time::timeout(
        Duration::from_millis(connect_timeout_ms),
        TcpStream::connect(address),
    )
    .await
    .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "connection timed out"))??;
    set_options_for(&stream, user_timeout_ms)?;
    Ok(stream)
}

/// Returns whether the connection has no unread input: neither its end nor unexpected bytes. The
/// operating system is asked, because the runtime's readiness state is only as recent as its last
/// poll.
pub fn has_no_unread_input(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}
