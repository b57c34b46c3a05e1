//! Detects whether the caller of a command still waits for its response.
//!
//! A caller that gets no response for a while closes its connection and sends the command again, to
//! another node. A process that was stopped or is behind a slow link may read the first copy long
//! after that; the command would then be executed a second time, after newer commands. The kernel
//! can tell: a closed connection reads as closed after the command.

use socket2::{SockRef, Socket};
use std::io;
use std::mem::MaybeUninit;
use std::sync::{Arc, Weak};
use tokio::net::TcpStream;

/// Connection of a caller; kept as long as the server keeps the connection.
#[derive(Clone)]
pub struct CallerConnection(Arc<Socket>);

impl CallerConnection {
    /// Creates a second handle to a connection.
    pub fn of(stream: &TcpStream) -> io::Result<CallerConnection> {
        let socket = SockRef::from(stream).try_clone()?;
        Ok(CallerConnection(Arc::new(socket)))
    }

    /// Returns the caller on the connection.
    pub fn caller(&self) -> Caller {
        Caller(Some(Arc::downgrade(&self.0)))
    }
}

/// The caller of a command.
#[derive(Clone, Debug, Default)]
pub struct Caller(Option<Weak<Socket>>);

impl Caller {
    /// Returns whether the caller may still wait for a response: its connection is open in both
    /// directions. A caller without a known connection counts as waiting.
    pub fn is_waiting(&self) -> bool {
        let Some(connection) = &self.0 else {
            return true;
        };
        connection.upgrade().is_some_and(|socket| is_open(&socket))
    }
}

/// Returns whether the peer has neither closed nor reset a connection, according to the kernel.
fn is_open(socket: &Socket) -> bool {
    match socket.peek(&mut [MaybeUninit::uninit()]) {
        Ok(bytes) => bytes > 0,
        Err(error) => error.kind() == io::ErrorKind::WouldBlock,
    }
}
