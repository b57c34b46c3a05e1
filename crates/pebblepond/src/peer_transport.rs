//! Connections between nodes. Each node connects to the nodes that it sends messages to. A frame
//! consists of a length (four bytes, big-endian) and an encoded [`PeerMessage`].
//!
//! The transport does not depend on other components: each of them registers for the payloads
//! that it handles.

use crate::kernel::{Component, NodeContext, StartError};
use crate::sockets;
use actix::prelude::*;
use bytes::{Buf, BufMut, BytesMut};
use config::constants as c;
use prost::Message as _;
use protocol::{Payload, PeerMessage};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

inventory::submit! { Component { name: "peer_transport", order: 20, start } }

/// Capacity of the transport's mailbox, in messages.
const MAILBOX_CAPACITY: usize = 1024;
/// Size of the length field of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

fn start(context: &Rc<NodeContext>) -> Result<(), StartError> {
    let address = context.settings.get().internal_address();
    let listener = sockets::listen(address).map_err(|source| StartError::Listen { address, source })?;
    let transport = PeerTransport {
        context: context.clone(),
        connections: HashMap::new(),
    }
    .start();
    context.register_component(transport.clone());
    actix_rt::spawn(accept(listener, transport, context.clone()));
    Ok(())
}

async fn accept(listener: TcpListener, transport: Addr<PeerTransport>, context: Rc<NodeContext>) {
    loop {
        let stream = sockets::accept(&listener, c::RECONNECT_PAUSE_MS).await;
        actix_rt::spawn(read_frames(stream, transport.clone(), context.clone()));
    }
}

/// The kinds of payload that a component can register for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PayloadKind {
    /// Raft messages.
    Raft,
    /// Commands forwarded by other nodes.
    Request,
    /// Responses to forwarded commands.
    Response,
    /// Counters reported by other nodes.
    Report,
    /// Repair requests.
    Digests,
    /// Responses to repair requests.
    Repair,
}

impl PayloadKind {
    fn of(payload: &Payload) -> Option<PayloadKind> {
        match payload {
            Payload::Raft(_) => Some(PayloadKind::Raft),
            Payload::Request(_) => Some(PayloadKind::Request),
            Payload::Response(_) => Some(PayloadKind::Response),
            Payload::Report(_) => Some(PayloadKind::Report),
            Payload::Digests(_) => Some(PayloadKind::Digests),
            Payload::Repair(_) => Some(PayloadKind::Repair),
            Payload::Hello(_) => None,
        }
    }
}

/// Processes a message from another node.
type PayloadHandler = Rc<dyn Fn(PeerMessage)>;

/// The handlers by kind of payload, one for each kind.
#[derive(Default)]
pub struct PayloadHandlers(RefCell<HashMap<PayloadKind, PayloadHandler>>);

impl PayloadHandlers {
    /// Registers a handler for some kinds of payload. The handler runs in the transport's actor
    /// and must pass on any work that takes time.
    pub fn register(&self, kinds: &[PayloadKind], handler: impl Fn(PeerMessage) + 'static) {
        let handler: PayloadHandler = Rc::new(handler);
        let mut handlers = self.0.borrow_mut();
        for kind in kinds {
            handlers.insert(*kind, handler.clone());
        }
    }

    fn get(&self, kind: PayloadKind) -> Option<PayloadHandler> {
        self.0.borrow().get(&kind).cloned()
    }
}

/// Sends a payload to a node. The payload is lost if the node cannot be reached.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SendToPeer {
    /// Internal address of the receiving node.
    pub address: String,
    /// The payload to send.
    pub payload: Payload,
}

/// A message that was received from another node.
#[derive(Message)]
#[rtype(result = "()")]
struct MessageReceived(PeerMessage);

/// The actor that owns the connections to other nodes.
pub struct PeerTransport {
    context: Rc<NodeContext>,
    /// Queues of frames to send, by address.
    connections: HashMap<String, mpsc::Sender<Vec<u8>>>,
}

impl Actor for PeerTransport {
    type Context = Context<Self>;
    fn started(&mut self, actor: &mut Self::Context) {
        actor.set_mailbox_capacity(MAILBOX_CAPACITY);
    }
}

impl PeerTransport {
    /// Creates the message that carries a payload. Other nodes may not know a node that is not
    /// current yet, so its messages carry the address to reply to.
    fn message(&self, payload: Payload) -> PeerMessage {
        let status = self.context.status.get();
        let expects_response = matches!(payload, Payload::Request(_) | Payload::Digests(_));
        let reply_to = if expects_response || !status.is_current {
            self.context.settings.get().internal_address().to_string()
        } else {
            String::new()
        };
        PeerMessage {
            from: status.id,
            cluster: status.cluster,
            payload: Some(payload),
            reply_to,
        }
    }
}

impl Handler<SendToPeer> for PeerTransport {
    type Result = ();
    fn handle(&mut self, SendToPeer { address, payload }: SendToPeer, _: &mut Self::Context) {
        let message = self.message(payload);
        let length = message.encoded_len();
        let mut frame = Vec::with_capacity(length + LENGTH_BYTES);
        frame.put_u32(length as u32);
        if message.encode(&mut frame).is_err() {
            return;
        }
        let context = &self.context;
        let connection = self.connections.entry(address.clone()).or_insert_with(|| {
            let (sender, frames) = mpsc::channel(c::PEER_QUEUE_FRAMES);
            actix_rt::spawn(write_frames(address, frames, context.clone()));
            sender
        });
        // A full queue drops the newest frame; senders repeat whatever matters.
        if connection.try_send(frame).is_err() {
            self.context.counters.increment("messages_dropped");
        }
    }
}

impl Handler<MessageReceived> for PeerTransport {
    type Result = ();
    fn handle(&mut self, MessageReceived(message): MessageReceived, _: &mut Self::Context) {
        let cluster = self.context.status.get().cluster;
        if cluster != 0 && message.cluster != 0 && message.cluster != cluster {
            self.context.counters.increment("messages_of_another_cluster");
            return;
        }
        let kind = message.payload.as_ref().and_then(PayloadKind::of);
        if let Some(handler) = kind.and_then(|kind| self.context.payload_handlers.get(kind)) {
            handler(message);
        }
    }
}

/// Sends the frames queued for a node, for as long as the process runs.
async fn write_frames(address: String, mut frames: mpsc::Receiver<Vec<u8>>, context: Rc<NodeContext>) {
    let mut stream: Option<TcpStream> = None;
    // Connecting to an unreachable peer is retried with a short timeout, so that the connection
    // succeeds soon after the peer is back. After several failures the cause may be that this
    // node's own link is saturated, which requires a longer timeout.
    let mut failures = 0;
    while let Some(mut frame) = frames.recv().await {
        // All queued frames are sent in one write.
        while let Ok(more) = frames.try_recv() {
            frame.extend_from_slice(&more);
        }
        // The peer never sends on a connection that this node opened, so pending input means that
        // the connection has ended.
        if stream.as_ref().is_some_and(|s| !sockets::has_no_unread_input(s)) {
            stream = None;
        }
        if stream.is_none() {
            let timeout_ms =
                c::PEER_CONNECT_TIMEOUT_MS << (failures / c::PEER_CONNECT_ATTEMPTS_PER_DOUBLING).min(2);
            match sockets::connect(&address, timeout_ms).await {
                Ok(connected) => {
                    stream = Some(connected);
                    failures = 0;
                }
                Err(_) => {
                    // A node that may vote keeps the short timeout, because elections wait for it.
                    failures = if context.may_lead() { 0 } else { failures + 1 };
                    context.counters.increment("peer_connects_failed");
                    actix_rt::time::sleep(Duration::from_millis(c::RECONNECT_PAUSE_MS)).await;
                    while frames.try_recv().is_ok() {}
                    continue;
                }
            }
        }
        if let Some(connected) = &mut stream {
            if connected.write_all(&frame).await.is_err() {
                stream = None;
            }
        }
    }
}

/// Reads the frames of a node until the connection ends or a frame is malformed.
async fn read_frames(mut stream: TcpStream, transport: Addr<PeerTransport>, context: Rc<NodeContext>) {
    let mut buffer = BytesMut::with_capacity(4096);
    loop {
        while buffer.len() >= LENGTH_BYTES {
            let length = (&buffer[..LENGTH_BYTES]).get_u32() as usize;
            if length > c::MAX_FRAME_BYTES {
                context.counters.increment("malformed_frames");
                return;
            }
            if buffer.len() < LENGTH_BYTES + length {
                break;
            }
            buffer.advance(LENGTH_BYTES);
            let Ok(message) = PeerMessage::decode(buffer.split_to(length)) else {
                context.counters.increment("malformed_frames");
                return;
            };
            transport.do_send(MessageReceived(message));
        }
        match stream.read_buf(&mut buffer).await {
            Ok(read) if read > 0 => {}
            _ => return,
        }
    }
}
