//! Clients of `control`. They send a command, and send it again unchanged to any node, until the
//! answer is definite. All calls are recorded in one history.

use crate::call::{call, client, Request};
use crate::checker::{Answer, Call, Command, History, Operation};
use rand::seq::SliceRandom;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// First delay before a command is sent again, in milliseconds. It doubles up to the longest delay.
const FIRST_RETRY_DELAY_MS: u64 = 50;
const MAX_RETRY_DELAY_MS: u64 = 800;
/// Number of 4xx answers, other than those that end a call at once, after which a call ends.
const MAX_OTHER_4XX: u32 = 3;

/// The history that all operators of a scenario write to.
#[derive(Clone)]
pub struct Record {
    history: Rc<RefCell<History>>,
    started_at: Instant,
}

impl Default for Record {
    fn default() -> Self {
        Record {
            history: Rc::default(),
            started_at: Instant::now(),
        }
    }
}

impl Record {
    /// Returns a copy of the history recorded so far.
    pub fn history(&self) -> History {
        self.history.borrow().clone()
    }

    /// Returns the microseconds since the start of the history.
    pub fn now(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }

    /// Records a command that is to be sent, and returns its index.
    pub fn command(&self, base: u64, version: u64, body: Vec<u8>) -> usize {
        let mut history = self.history.borrow_mut();
        history.commands.push(Command { base, version, body });
        history.commands.len() - 1
    }

    fn request(&self, operation: &Operation, body: &[u8]) -> Request {
        match operation {
            Operation::Replace(n) => {
                let history = self.history.borrow();
                let command = &history.commands[*n];
                Request::Post {
                    path: "/configuration/replace".into(),
                    base: Some(command.base),
                    body: command.body.clone(),
                }
            }
            Operation::Invalid(_) => Request::Post {
                path: "/configuration/replace".into(),
                base: Some(0),
                body: body.to_vec(),
            },
            Operation::Read => Request::Get("/configuration/read".into()),
            Operation::Status => Request::Get("/status".into()),
            Operation::Evacuate { zone, begin } => Request::Post {
                path: format!("/evacuation/{zone}/{}", if *begin { "begin" } else { "finish" }),
                base: None,
                body: Vec::new(),
            },
        }
    }
}

/// The number of a node and its control address.
pub type ControlAddress = (u8, SocketAddrV4);

/// A client of `control` with connections of its own.
#[derive(Clone)]
pub struct Operator {
    client: awc::Client,
    record: Record,
}

impl Operator {
    /// Creates an operator whose calls are recorded.
    pub fn new(record: &Record) -> Operator {
        Operator {
            client: client(),
            record: record.clone(),
        }
    }

    /// Sends one call to one node, and returns the answer.
    pub async fn send_once(&self, operation: Operation, control_address: ControlAddress) -> Answer {
        self.send_once_with_body(operation, Vec::new(), control_address)
            .await
    }

    /// Sends one call with the given body to one node, and returns the answer.
    pub async fn send_once_with_body(
        &self,
        operation: Operation,
        body: Vec<u8>,
        (node, address): ControlAddress,
    ) -> Answer {
        let request = self.record.request(&operation, &body);
        let sent_at_us = self.record.now();
        let answer = call(&self.client, address, &request).await;
        self.record.history.borrow_mut().calls.push(Call {
            operation,
            node,
            sent_at_us,
            ended_at_us: self.record.now(),
            answer: answer.clone(),
        });
        answer
    }

    /// Sends a call, first to each address in the given order and then to random ones, until the
    /// answer is definite or the time is over. In the latter case the last indeterminate answer is
    /// returned.
    pub async fn retry_until_definite(
        &self,
        operation: Operation,
        control_addresses: &[ControlAddress],
        timeout: Duration,
    ) -> Answer {
        let deadline = Instant::now() + timeout;
        let mut pause = FIRST_RETRY_DELAY_MS;
        let mut attempts = 0;
        let mut other_refusals = 0;
        loop {
            let control_address = match control_addresses.get(attempts) {
                Some(control_address) => Some(*control_address),
                None => control_addresses.choose(&mut rand::thread_rng()).copied(),
            };
            let Some(control_address) = control_address else {
                return Answer::Indeterminate("no node to call".into());
            };
            let answer = self.send_once(operation.clone(), control_address).await;
            attempts += 1;
            match &answer {
                Answer::Success(_) | Answer::Refused(400 | 409 | 412 | 413 | 422, _) => return answer,
                Answer::Refused(..) => {
                    other_refusals += 1;
                    if other_refusals == MAX_OTHER_4XX {
                        return answer;
                    }
                }
                Answer::Indeterminate(_) => {}
            }
            if Instant::now() >= deadline {
                return answer;
            }
            actix_rt::time::sleep(Duration::from_millis(pause)).await;
            pause = (pause * 2).min(MAX_RETRY_DELAY_MS);
        }
    }
}
