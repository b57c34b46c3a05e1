//! Held connections between nodes. Each node dials those it has something to
//! tell; frames are a length and an encoded [`Letter`].

use crate::conductor::Conductor;
use crate::desk::{Desk, PassOn};
use crate::kernel::{House, Plugin};
use crate::keys::{Counted, Dresser};
use crate::placement::Treasurer;
use crate::producer::{Outcomes, Producer};
use crate::sockets;
use actix::prelude::*;
use bytes::{Buf, BufMut, BytesMut};
use config::constants as c;
use prost::Message as _;
use protocol::{Payload, PeerMessage};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

inventory::submit! { Plugin { name: "post", order: 20, start } }

fn start(house: &Rc<House>) -> Result<(), String> {
    let address = house.settings.get().internal_address();
    let listener = sockets::listen(address).map_err(|e| format!("cannot listen on {address}: {e}"))?;
    let post = Post {
        house: house.clone(),
        lines: HashMap::new(),
    }
    .start();
    house.put(post.clone());
    let house = house.clone();
    actix_rt::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    actix_rt::spawn(listen_to(stream, post.clone(), house.clone()));
                }
                Err(_) => actix_rt::time::sleep(Duration::from_millis(c::RECONNECT_PAUSE_MS)).await,
            }
        }
    });
    Ok(())
}

/// Tells a node something; lost if the node cannot be reached.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Send {
    pub to: String,
    pub matter: Payload,
}

/// A letter that has come in.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Delivered(pub PeerMessage);

/// The owner of the connections to other nodes.
pub struct Post {
    house: Rc<House>,
    lines: HashMap<String, mpsc::Sender<Vec<u8>>>,
}

impl Actor for Post {
    type Context = Context<Self>;
    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(1024);
    }
}

impl Handler<Send> for Post {
    type Result = ();
    fn handle(&mut self, msg: Send, _: &mut Self::Context) {
        let standing = self.house.standing.get();
        // Others may not know a node yet that is not current.
        let answered = matches!(msg.matter, Payload::Request(_) | Payload::Digests(_)) || !standing.current;
        let own = answered.then(|| self.house.settings.get().internal_address().to_string());
        let letter = PeerMessage {
            from: standing.id,
            cluster: standing.cluster,
            payload: Some(msg.matter),
            reply_to: own.unwrap_or_default(),
        };
        let mut frame = Vec::with_capacity(letter.encoded_len() + 4);
        frame.put_u32(letter.encoded_len() as u32);
        if letter.encode(&mut frame).is_err() {
            return;
        }
        let line = self.lines.entry(msg.to.clone()).or_insert_with(|| {
            let (tx, rx) = mpsc::channel(c::PEER_QUEUE_FRAMES);
            actix_rt::spawn(speak_to(msg.to, rx, self.house.clone()));
            tx
        });
        // A full queue drops the newest: whatever matters is sent again.
        if line.try_send(frame).is_err() {
            self.house.counters.add("letters_dropped");
        }
    }
}

impl Handler<Delivered> for Post {
    type Result = ();
    fn handle(&mut self, Delivered(letter): Delivered, _: &mut Self::Context) {
        let cluster = self.house.standing.get().cluster;
        if cluster != 0 && letter.cluster != 0 && letter.cluster != cluster {
            self.house.counters.add("letters_of_another_cluster");
            return;
        }
        if let Some(Payload::Report(mut report)) = letter.payload {
            if !self.house.standing.get().is_leader {
                // From a node that follows this one: passed on with the rest.
                if let Some(desk) = self.house.get::<Addr<Desk>>() {
                    desk.do_send(PassOn(report));
                }
                return;
            }
            if let Some(dresser) = self.house.get::<Addr<Dresser>>() {
                let keys = std::mem::take(&mut report.keys);
                dresser.do_send(Counted {
                    keys,
                    capacity: report.workers.clone(),
                });
            }
            if let Some(producer) = self.house.get::<Addr<Producer>>() {
                producer.do_send(Outcomes {
                    trials: std::mem::take(&mut report.rollout_samples),
                    capacity: report.workers.clone(),
                });
            }
            if let Some(treasurer) = self.house.get::<Addr<Treasurer>>() {
                treasurer.do_send(crate::placement::Reported {
                    node: letter.from,
                    report,
                });
            }
        } else if let Some(conductor) = self.house.get::<Addr<Conductor>>() {
            conductor.do_send(Delivered(letter));
        }
    }
}

async fn speak_to(to: String, mut queue: mpsc::Receiver<Vec<u8>>, house: Rc<House>) {
    let mut stream: Option<TcpStream> = None;
    // A dark peer is dialled anew at once, so that it is met when it is back. After
    // some tries it may be the own link that is full: then a longer wait is needed.
    let mut failures = 0;
    while let Some(mut frame) = queue.recv().await {
        // What has queued up goes out in one write.
        while let Ok(more) = queue.try_recv() {
            frame.extend_from_slice(&more);
        }
        // The peer never speaks on a connection we dialled: it has ended.
        if stream.as_ref().is_some_and(|s| !sockets::is_quiet(s)) {
            stream = None;
        }
        if stream.is_none() {
            let tries = c::PEER_CONNECT_TRIES;
            let wait = c::PEER_CONNECT_TIMEOUT_MS << (failures / tries).min(2);
            match sockets::connect(&to, wait).await {
                Ok(s) => {
                    stream = Some(s);
                    failures = 0;
                }
                Err(_) => {
                    // Voters are waited for by elections.
                    failures = if house.may_lead() { 0 } else { failures + 1 };
                    house.counters.add("peer_connects_failed");
                    actix_rt::time::sleep(Duration::from_millis(c::RECONNECT_PAUSE_MS)).await;
                    while queue.try_recv().is_ok() {}
                    continue;
                }
            }
        }
        if let Some(s) = &mut stream {
            if s.write_all(&frame).await.is_err() {
                stream = None;
            }
        }
    }
}

async fn listen_to(mut stream: TcpStream, post: Addr<Post>, house: Rc<House>) {
    if sockets::dress(&stream).is_err() {
        return;
    }
    let mut buf = BytesMut::with_capacity(4096);
    loop {
        while buf.len() >= 4 {
            let length = (&buf[..4]).get_u32() as usize;
            if length > c::MAX_FRAME_BYTES {
                house.counters.add("malformed_frames");
                return;
            }
            if buf.len() < 4 + length {
                break;
            }
            buf.advance(4);
            let Ok(letter) = PeerMessage::decode(buf.split_to(length)) else {
                house.counters.add("malformed_frames");
                return;
            };
            post.do_send(Delivered(letter));
        }
        match stream.read_buf(&mut buf).await {
            Ok(n) if n > 0 => {}
            _ => return,
        }
    }
}
