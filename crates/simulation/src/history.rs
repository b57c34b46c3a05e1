//! The observations of operators, nodes, disks, links and workers in one run, in the order of
//! simulated time. [`crate::checker`] checks such a history; it knows nothing else about the
//! run.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Identifies a configuration by the version that it builds on, its own version, and a digest
/// of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Content {
    pub base: u64,
    pub version: u64,
    pub digest: u64,
}

/// Returns a digest of a body. It is the same in every run of one build.
pub fn digest(body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    hasher.finish()
}

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Replaces the configuration. `valid` says whether the operator built a valid one, because
    /// the system cannot be asked.
    Replace {
        content: Content,
        valid: bool,
    },
    Evacuate {
        zone: String,
        begin: bool,
    },
    /// Reads back the configuration in force.
    Read,
}

/// A reply to an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    /// The attempt that the reply was made for, set by the node that made it. The operator
    /// cannot see this on the wire; a checker may.
    pub made_for: u64,
    /// Version of the configuration read and digest of its body; `None` if there is none yet.
    pub read: Option<(u64, u64)>,
}

/// One observation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// An operator sends a command, for the first time or again, to a node.
    Sent {
        command: u64,
        attempt: u64,
        to: String,
        request: Request,
    },
    /// An operator receives a reply to an attempt.
    ReplyReceived { attempt: u64, reply: Reply },
    /// An operator stops waiting for a reply to an attempt. The outcome is unknown.
    RequestTimedOut { attempt: u64 },
    /// A process of a node started. Processes are numbered.
    ProcessStarted { process: u64 },
    /// The process ended: it was killed, or its machine lost power, or lost its disk too.
    ProcessEnded { process: u64, how: &'static str },
    /// The process is leader from now on.
    Leads { process: u64, term: u64 },
    /// The leader has committed a membership with these voters, each `address#id`.
    Membership { voters: Vec<String> },
    /// A node sends a reply to an attempt.
    ReplySent { attempt: u64, status: u16 },
    /// A process has applied the log up to an index.
    Applied { process: u64, replica: Replica },
    /// A process has applied one command.
    Effect {
        process: u64,
        index: u64,
        command: u64,
        /// The attempt that caused the log entry.
        attempt: u64,
        changed: bool,
    },
    /// A disk holds the log durably up to an index.
    Synced { index: u64 },
    /// The link from this node to another stops or starts carrying messages.
    Link { to: String, carries: bool },
    /// A worker takes keys until a time, or releases them (`until` is now).
    KeysHeld {
        from: u32,
        to: u32,
        fence: u64,
        until: u64,
    },
    /// A fault was injected. Only for readers of the trace.
    FaultInjected { what: String },
}

/// A node's replica of the control state at an index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replica {
    pub index: u64,
    /// A digest of the complete control state.
    pub digest: u64,
    /// The configuration in force.
    pub content: Option<Content>,
    /// Evacuated zones, with the number of evacuations in force for each.
    pub evacuated: BTreeMap<String, u32>,
}

/// An observation with its observer and its simulated time, ms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    pub at: u64,
    pub observer: String,
    pub observation: Observation,
}

/// All observations, ordered by time; at equal times, in the order in which they were recorded.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub events: Vec<Event>,
}

impl History {
    /// Appends an observation.
    pub fn record(&mut self, at: u64, observer: &str, observation: Observation) {
        let observer = observer.to_string();
        self.events.push(Event {
            at,
            observer,
            observation,
        });
    }

    /// Returns the history for a human reader. It leaves out the reports of disks, and of the
    /// replicas it shows only the first to apply a command, or to reach an index that changed
    /// the configuration or the evacuations of a zone.
    pub fn trace(&self) -> String {
        let mut lines = String::new();
        let mut shown: BTreeSet<(u64, u64)> = BTreeSet::new();
        let mut last: BTreeMap<&str, (Option<Content>, &BTreeMap<String, u32>)> = BTreeMap::new();
        for event in &self.events {
            match &event.observation {
                Observation::Synced { .. } => continue,
                Observation::Effect { index, command, .. } if !shown.insert((*index, *command)) => continue,
                Observation::Applied { replica, .. } => {
                    let now = (replica.content, &replica.evacuated);
                    let is_unchanged = last.insert(&event.observer, now) == Some(now);
                    if is_unchanged || !shown.insert((replica.index, u64::MAX)) {
                        continue;
                    }
                }
                _ => {}
            }
            lines.push_str(&format!("{event}\n"));
        }
        lines
    }
}

impl fmt::Display for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} on {} ({:04x})",
            self.version,
            self.base,
            self.digest & 0xffff
        )
    }
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Request::Replace { content, valid } => {
                write!(f, "version {content}{}", if *valid { "" } else { ", invalid" })
            }
            Request::Evacuate { zone, begin: true } => write!(f, "begin evacuation of {zone}"),
            Request::Evacuate { zone, .. } => write!(f, "finish evacuation of {zone}"),
            Request::Read => write!(f, "read"),
        }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>7} {:<10} ", self.at, self.observer)?;
        match &self.observation {
            Observation::Sent {
                command,
                attempt,
                to,
                request,
            } => write!(
                f,
                "sends command {command} to {to} as attempt {attempt}: {request}"
            ),
            Observation::ReplyReceived { attempt, reply } => {
                write!(f, "receives {} for attempt {attempt}", reply.status)?;
                if reply.made_for != *attempt {
                    write!(f, ", made for attempt {}", reply.made_for)?;
                }
                match reply.read {
                    Some((version, digest)) => write!(f, ": version {version} ({:04x})", digest & 0xffff),
                    None => Ok(()),
                }
            }
            Observation::RequestTimedOut { attempt } => write!(f, "stops waiting for attempt {attempt}"),
            Observation::ProcessStarted { process } => write!(f, "starts process {process}"),
            Observation::ProcessEnded { process, how } => write!(f, "ends process {process}: {how}"),
            Observation::Leads { process, term } => write!(f, "leads in term {term}, process {process}"),
            Observation::Membership { voters } => write!(f, "has the voters {}", voters.join(" ")),
            Observation::ReplySent { attempt, status } => write!(f, "replies {status} to attempt {attempt}"),
            Observation::Applied { replica, .. } => {
                write!(f, "has applied index {}", replica.index)?;
                if let Some(content) = replica.content {
                    write!(f, ", version {content}")?;
                }
                if !replica.evacuated.is_empty() {
                    write!(f, ", evacuated {:?}", replica.evacuated)?;
                }
                Ok(())
            }
            Observation::Effect {
                index,
                command,
                attempt,
                changed,
                ..
            } => write!(
                f,
                "applies command {command} of attempt {attempt} at index {index}: {}",
                if *changed { "changed" } else { "no change" }
            ),
            Observation::Synced { index } => write!(f, "disk holds up to index {index}"),
            Observation::Link { to, carries: true } => write!(f, "reaches {to} again"),
            Observation::Link { to, .. } => write!(f, "no longer reaches {to}"),
            Observation::KeysHeld {
                from,
                to,
                fence,
                until,
            } => write!(
                f,
                "holds keys {from} to {to} until {until}, fencing token {fence}"
            ),
            Observation::FaultInjected { what } => write!(f, "-- {what}"),
        }
    }
}
