//! Callers of control: they send an order, and send it again as it was, to any
//! node, until it has a clear answer. All that they see goes into one history.

use crate::call::{call, client, Request};
use crate::checker::{Answer, Asked, Call, History, Order};
use rand::seq::SliceRandom;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// First pause before an order is sent again, ms; it doubles up to the longest.
const PAUSE_MS: u64 = 50;
const LONGEST_PAUSE_MS: u64 = 800;
/// Tries after which a 4xx other than those that end a call at once ends it.
const OTHER_4XX_TRIES: u32 = 3;

/// The history that all operators of a scenario write.
#[derive(Clone)]
pub struct Record {
    history: Rc<RefCell<History>>,
    began: Instant,
}

impl Default for Record {
    fn default() -> Self {
        Record {
            history: Rc::default(),
            began: Instant::now(),
        }
    }
}

impl Record {
    /// What was recorded so far.
    pub fn history(&self) -> History {
        self.history.borrow().clone()
    }

    /// Microseconds since the start of the history.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    /// Enters an order that is to be sent.
    pub fn order(&self, base: u64, version: u64, body: Vec<u8>) -> usize {
        let mut history = self.history.borrow_mut();
        history.orders.push(Order { base, version, body });
        history.orders.len() - 1
    }

    fn request(&self, asked: &Asked, body: &[u8]) -> Request {
        match asked {
            Asked::Replace(n) => {
                let history = self.history.borrow();
                let order = &history.orders[*n];
                Request::Post {
                    path: "/configuration/replace".into(),
                    base: Some(order.base),
                    body: order.body.clone(),
                }
            }
            Asked::Invalid(_) => Request::Post {
                path: "/configuration/replace".into(),
                base: Some(0),
                body: body.to_vec(),
            },
            Asked::Read => Request::Get("/configuration/read".into()),
            Asked::Status => Request::Get("/status".into()),
            Asked::Evacuate { zone, begin } => Request::Post {
                path: format!("/evacuation/{zone}/{}", if *begin { "begin" } else { "finish" }),
                base: None,
                body: Vec::new(),
            },
        }
    }
}

/// A control address and the number of its node.
pub type ControlAddress = (u8, SocketAddrV4);

/// One caller, with connections of its own.
#[derive(Clone)]
pub struct Operator {
    client: awc::Client,
    record: Record,
}

impl Operator {
    /// An operator whose calls are recorded.
    pub fn new(record: &Record) -> Operator {
        Operator {
            client: client(),
            record: record.clone(),
        }
    }

    /// One call at one node, and what came of it.
    pub async fn ask(&self, asked: Asked, control_address: ControlAddress) -> Answer {
        self.ask_with(asked, Vec::new(), control_address).await
    }

    /// One call that brings a body of its own.
    pub async fn ask_with(&self, asked: Asked, body: Vec<u8>, (node, address): ControlAddress) -> Answer {
        let request = self.record.request(&asked, &body);
        let sent = self.record.now();
        let answer = call(&self.client, address, &request).await;
        self.record.history.borrow_mut().calls.push(Call {
            asked,
            node,
            sent,
            ended: self.record.now(),
            answer: answer.clone(),
        });
        answer
    }

    /// Sends a call, first to the places as they stand, then to any of them,
    /// until it has a clear answer or the time is over, in which case the last
    /// unclear one is handed back.
    pub async fn settle(
        &self,
        asked: Asked,
        control_addresses: &[ControlAddress],
        within: Duration,
    ) -> Answer {
        let until = Instant::now() + within;
        let mut pause = PAUSE_MS;
        let mut tries = 0;
        let mut others = 0;
        loop {
            let control_address = match control_addresses.get(tries) {
                Some(control_address) => Some(*control_address),
                None => control_addresses.choose(&mut rand::thread_rng()).copied(),
            };
            let Some(control_address) = control_address else {
                return Answer::Unclear("no node to ask".into());
            };
            let answer = self.ask(asked.clone(), control_address).await;
            tries += 1;
            match &answer {
                Answer::Good(_) | Answer::Refused(400 | 409 | 412 | 413 | 422, _) => return answer,
                Answer::Refused(..) => {
                    others += 1;
                    if others == OTHER_4XX_TRIES {
                        return answer;
                    }
                }
                Answer::Unclear(_) => {}
            }
            if Instant::now() >= until {
                return answer;
            }
            actix_rt::time::sleep(Duration::from_millis(pause)).await;
            pause = (pause * 2).min(LONGEST_PAUSE_MS);
        }
    }
}
