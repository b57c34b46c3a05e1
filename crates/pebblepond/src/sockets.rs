//! Sockets with the options that every connection here has.

use config::constants as c;
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use std::io;
use std::mem::MaybeUninit;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Sets what all TCP connections have: no delay, and an end to silence.
fn set_options(stream: &TcpStream) -> io::Result<()> {
    set_options_for(stream, u64::from(c::TCP_USER_TIMEOUT_MS))
}

fn set_options_for(stream: &TcpStream, silence_ms: u64) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(Duration::from_millis(silence_ms)))?;
    let every = Duration::from_secs(c::TCP_KEEPALIVE_S);
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(every).with_interval(every))
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

/// The next connection that comes in, with the options of all; `retry_ms` is the pause after one
/// that could not be accepted, ms.
pub async fn accept(listener: &TcpListener, retry_ms: u64) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if set_options(&stream).is_ok() => return stream,
            Ok(_) => {}
            Err(_) => tokio::time::sleep(Duration::from_millis(retry_ms)).await,
        }
    }
}

/// Connects to a peer within a time.
pub async fn connect(address: &str, wait_ms: u64) -> io::Result<TcpStream> {
    open(address, wait_ms, u64::from(c::TCP_USER_TIMEOUT_MS)).await
}

/// Connects within a time, to somebody whose silence is borne for another. What has not
/// been delivered when the connection is dropped never will be: it is reset, not closed.
/// Bytes that a cut holds up would else arrive when the link is back, long after the call
/// was given up.
pub async fn connect_for(address: &str, wait_ms: u64, silence_ms: u64) -> io::Result<TcpStream> {
    let stream = open(address, wait_ms, silence_ms).await?;
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}

async fn open(address: &str, wait_ms: u64, silence_ms: u64) -> io::Result<TcpStream> {
    let address: SocketAddr = address
        .parse()
        .map_err(|_| io::Error::new(io::ErrorKind::InvalidInput, "no address"))?;
    let stream = tokio::time::timeout(Duration::from_millis(wait_ms), TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "connecting took too long"))??;
    set_options_for(&stream, silence_ms)?;
    Ok(stream)
}

/// Nothing has come in that was not read: no end, no stray bytes. The kernel is
/// asked: what the runtime knows is as old as its last look.
pub fn is_quiet(stream: &TcpStream) -> bool {
    let seen = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    matches!(seen, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}
