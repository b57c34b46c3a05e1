//! A client's connection: whether it has been told to end, and which of its answers have not been
//! handed to the kernel yet. What has not been handed over ends with the process.

use super::running::RunningGuard;
use actix_codec::{AsyncRead, AsyncWrite, ReadBuf};
use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_rt::net::{ActixStream, Ready};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;

/// What is known of a connection; shared by its stream, its requests and their answers.
#[derive(Clone, Default)]
pub(super) struct ConnectionState(Rc<Shared>);

#[derive(Default)]
struct Shared {
    is_closing: Cell<bool>,
    /// Requests whose answers are made, and not all handed over.
    unsent: RefCell<Vec<RunningGuard>>,
}

impl ConnectionState {
    /// Whether the connection has been told to end: what the client sent ahead (pipelined)
    /// behind that is not run, since it may have gone elsewhere.
    pub(super) fn is_closing(&self) -> bool {
        self.0.is_closing.get()
    }

    pub(super) fn set_closing(&self, is_closing: bool) {
        self.0.is_closing.set(is_closing);
    }

    /// The request of `guard` runs until the whole of its answer has been handed over.
    pub(super) fn run_until_sent(&self, guard: RunningGuard, body: BoxBody) -> BoxBody {
        BoxBody::new(GuardedBody {
            body,
            guard: Some(guard),
            connection: self.clone(),
        })
    }
}

/// A body that counts as running until it has been handed over.
struct GuardedBody {
    body: BoxBody,
    guard: Option<RunningGuard>,
    connection: ConnectionState,
}

impl MessageBody for GuardedBody {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(context)
    }
}

impl Drop for GuardedBody {
    fn drop(&mut self) {
        // All of it is in the connection's buffer, or the connection ends.
        self.connection.0.unsent.borrow_mut().extend(self.guard.take());
    }
}

/// The stream of a client's connection.
pub(super) struct ClientStream {
    stream: TcpStream,
    state: ConnectionState,
}

impl ClientStream {
    pub(super) fn new(stream: TcpStream) -> ClientStream {
        ClientStream {
            stream,
            state: ConnectionState::default(),
        }
    }

    pub(super) fn state(&self) -> ConnectionState {
        self.state.clone()
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    /// Called once the buffer of the connection has been written.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if flushed.is_ready() {
            self.state.0.unsent.borrow_mut().clear();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl ActixStream for ClientStream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, context)
    }
}
