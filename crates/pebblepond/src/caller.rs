//! Whether the caller of a command still waits for its answer.
//!
//! A caller that hears nothing for a while closes its connection and sends the command again, to
//! another node. What it sent first may be read long after that, by a process that stood still or
//! behind a slow link, and would be carried out a second time, after others that are newer. The
//! kernel knows: a connection that is closed reads as such behind the command.

use socket2::{SockRef, Socket};
use std::io;
use std::mem::MaybeUninit;
use std::sync::{Arc, Weak};
use tokio::net::TcpStream;

/// A caller's connection; lives as long as the server keeps it.
#[derive(Clone)]
pub struct CallerConnection(Arc<Socket>);

impl CallerConnection {
    /// A second handle of a connection.
    pub fn of(stream: &TcpStream) -> io::Result<CallerConnection> {
        let socket = SockRef::from(stream).try_clone()?;
        Ok(CallerConnection(Arc::new(socket)))
    }

    /// Who has called on it.
    pub fn caller(&self) -> Caller {
        Caller(Some(Arc::downgrade(&self.0)))
    }
}

/// The caller of a command.
#[derive(Clone, Debug, Default)]
pub struct Caller(Option<Weak<Socket>>);

impl Caller {
    /// Whether it may still wait: its connection is open on both sides. One whose connection is
    /// not known does.
    pub fn is_waiting(&self) -> bool {
        let Some(connection) = &self.0 else {
            return true;
        };
        connection.upgrade().is_some_and(|socket| is_open(&socket))
    }
}

/// Whether the peer has neither closed nor reset a connection, as the kernel has it.
fn is_open(socket: &Socket) -> bool {
    match socket.peek(&mut [MaybeUninit::uninit()]) {
        Ok(bytes) => bytes > 0,
        Err(error) => error.kind() == io::ErrorKind::WouldBlock,
    }
}
