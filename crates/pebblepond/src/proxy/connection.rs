//! A client's connection: whether it is about to be closed, and which of its responses have not yet
//! been handed to the kernel completely. Data that has not been handed to the kernel is lost when
//! the process ends.

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

/// State of a connection, shared by its stream, its requests and their responses.
#[derive(Clone, Default)]
pub(super) struct ConnectionState(Rc<Shared>);

#[derive(Default)]
struct Shared {
    is_closing: Cell<bool>,
    /// Guards of the requests whose responses were produced but not yet handed to the kernel
    /// completely.
    unsent: RefCell<Vec<RunningGuard>>,
}

impl ConnectionState {
    /// Returns whether the connection is about to be closed. A request that the client has
    /// pipelined after that is not executed, since the client may have sent it elsewhere as well.
    pub(super) fn is_closing(&self) -> bool {
        self.0.is_closing.get()
    }

    pub(super) fn set_closing(&self, is_closing: bool) {
        self.0.is_closing.set(is_closing);
    }

    /// Wraps a response body so that the request of `guard` counts as running until the whole
    /// response has been handed to the kernel.
    pub(super) fn run_until_sent(&self, guard: RunningGuard, body: BoxBody) -> BoxBody {
        BoxBody::new(GuardedBody {
            body,
            guard: Some(guard),
            connection: self.clone(),
        })
    }
}

/// A response body whose request counts as running until the body has been handed to the kernel.
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
        // The whole body is in the write buffer of the connection, or the connection is ending.
        self.connection.0.unsent.borrow_mut().extend(self.guard.take());
    }
}

/// Stream of a client's connection.
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

    /// Called after the write buffer of the connection has been written.
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
