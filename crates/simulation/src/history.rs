//! What operators, nodes, disks, links and workers of a run saw, each for itself, in
//! the order of simulated time. [`crate::checker`] judges such a history; it knows
//! nothing else of the run.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};

/// What a configuration is known by: the version that it builds on, its own, and a
/// digest of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Content {
    pub base: u64,
    pub version: u64,
    pub digest: u64,
}

/// A digest of a body; the same in every run of one build.
pub fn digest(body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    hasher.finish()
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Whether the operator made it valid, which the system cannot be asked.
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

/// What came back to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    /// The attempt that the reply was made for, as whoever made it wrote on it. The
    /// operator cannot see this on the wire; a checker may.
    pub made_for: u64,
    /// Read back: version and digest of the body; `None` if there is none yet.
    pub read: Option<(u64, u64)>,
}

/// One thing that somebody saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// An operator sends a command, or the same command again, to a node.
    Sent {
        command: u64,
        attempt: u64,
        to: String,
        request: Request,
    },
    /// An operator gets a reply to an attempt.
    ReplyReceived { attempt: u64, reply: Reply },
    /// An operator waits for an attempt no longer. What became of it is unknown.
    RequestTimedOut { attempt: u64 },
    /// A process began; processes of one node are numbered.
    ProcessStarted { process: u64 },
    /// It ended: killed, or its power lost, or its disk too.
    ProcessEnded { process: u64, how: &'static str },
    /// It leads from now on.
    Leads { process: u64, term: u64 },
    /// As leader it has these voters committed, by their addresses.
    Membership { voters: Vec<String> },
    /// It sends a reply to an attempt.
    ReplySent { attempt: u64, status: u16 },
    /// It has applied the log up to an index.
    Applied { process: u64, replica: Replica },
    /// It has applied one command, and whether that changed anything.
    Effect {
        process: u64,
        index: u64,
        command: u64,
        /// The attempt that brought it into the log.
        attempt: u64,
        changed: bool,
    },
    /// A disk says that all up to an index lasts.
    Synced { index: u64 },
    /// A link stops, or starts, to carry what one node sends another.
    Link { to: String, carries: bool },
    /// A worker takes keys until a time, or gives them back (`until` is now).
    KeysHeld {
        from: u32,
        to: u32,
        fence: u64,
        until: u64,
    },
    /// What was done to somebody; for the reader only.
    FaultInjected { what: String },
}

/// A node's copy of the control state at an index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replica {
    pub index: u64,
    /// A digest of the whole state.
    pub digest: u64,
    /// The configuration in force.
    pub content: Option<Content>,
    /// Evacuated zones and how many evacuations of each are in force.
    pub evacuated: BTreeMap<String, u32>,
}

/// Somebody saw something at a simulated time (ms).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    pub at: u64,
    pub observer: String,
    pub observation: Observation,
}

/// All that was seen, ordered by time; at equal times, by who wrote first.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub events: Vec<Event>,
}

impl History {
    /// Adds what somebody observed.
    pub fn record(&mut self, at: u64, observer: &str, observation: Observation) {
        let observer = observer.to_string();
        self.events.push(Event {
            at,
            observer,
            observation,
        });
    }

    /// The history for a person to read: without what disks report, and of what copies
    /// show only who was first to apply a command, or to stand at an index that changed
    /// the configuration or a zone.
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
                    let same = last.insert(&event.observer, now) == Some(now);
                    if same || !shown.insert((replica.index, u64::MAX)) {
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
            Request::Read => write!(f, "read back"),
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
            } => write!(f, "sends order {command} to {to} as attempt {attempt}: {request}"),
            Observation::ReplyReceived { attempt, reply } => {
                write!(f, "hears {} to attempt {attempt}", reply.status)?;
                if reply.made_for != *attempt {
                    write!(f, ", made for attempt {}", reply.made_for)?;
                }
                match reply.read {
                    Some((version, digest)) => write!(f, ": version {version} ({:04x})", digest & 0xffff),
                    None => Ok(()),
                }
            }
            Observation::RequestTimedOut { attempt } => write!(f, "waits for attempt {attempt} no longer"),
            Observation::ProcessStarted { process } => write!(f, "starts, life {process}"),
            Observation::ProcessEnded { process, how } => write!(f, "ends life {process}: {how}"),
            Observation::Leads { process, term } => write!(f, "leads in term {term}, life {process}"),
            Observation::Membership { voters } => write!(f, "has the voters {}", voters.join(" ")),
            Observation::ReplySent { attempt, status } => write!(f, "replies {status} to attempt {attempt}"),
            Observation::Applied { replica, .. } => {
                write!(f, "stands at index {}", replica.index)?;
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
                "applies order {command} of attempt {attempt} at index {index}: {}",
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
            } => write!(f, "holds keys {from} to {to} until {until}, fence {fence}"),
            Observation::FaultInjected { what } => write!(f, "-- {what}"),
        }
    }
}
