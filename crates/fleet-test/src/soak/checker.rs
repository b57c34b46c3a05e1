//! Checks whether what a soak observed is consistent with the rules of the system. The rules bind a
//! node while it is in contact: its own process has run undisturbed for some time, and the core was
//! stable.

mod evacuations;

pub use evacuations::doubtful_begins;

use super::observations::{
    Command, CommandKind, Ending, KeyLease, NodeFault, NodeFaultKind, Observations, Request, Run,
};
use std::collections::{BTreeMap, HashMap};

/// Bounds from the settings that a soak runs with, in milliseconds.
mod bounds {
    /// Time without faults after which a node counts as in contact (`Contact`).
    pub const CONTACT_MS: u64 = 4000;
    /// How long a draining worker may still get requests (`Drain`).
    pub const DRAIN_MS: u64 = 2500;
    /// How long an evacuated zone may still get requests (`Evacuation`).
    pub const EVACUATION_MS: u64 = 5000;
    /// A begin that is sent again later than this after the first attempt may count twice.
    pub const REPETITION_MS: u64 = 3000;
    /// How long a node may still apply the previous configuration (`ConfigApply`).
    pub const CONFIG_APPLY_MS: u64 = 2000;
    /// Time from SIGTERM until a process is killed (`GracePeriod`).
    pub const GRACE_PERIOD_MS: u64 = 6000;
    /// A request may be unread if its connection ends within this time (`LossSlack`).
    pub const LOSS_SLACK_MS: u64 = 200;
    /// Allowance for the delay of the platform's list and of the observers' own clocks.
    pub const LAG_MS: u64 = 200;
    /// How long two workers may hold the same keys.
    pub const MAX_SHARED_KEYS_MS: u64 = 500;
    /// A request sent no later than this after SIGTERM may be cut in the last sixth of the grace
    /// period.
    pub const EARLY_AFTER_TERM_MS: u64 = 3000;
}

/// Requests that a node may cut without a kill, freeze or shutdown that explains it.
const MAX_UNEXPLAINED_CUTS: usize = 3;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the rule.
    pub rule: &'static str,
    /// Time of the violation, in milliseconds.
    pub at: u64,
    /// What was observed.
    pub description: String,
    /// Substrings that identify the log lines about the violation.
    pub log_terms: Vec<String>,
}

/// Returns all violations in order of time.
pub fn violations(seen: &Observations) -> Vec<Violation> {
    let checker = Checker::new(seen);
    let mut found = Vec::new();
    checker.check_runs(&mut found);
    checker.check_answers(&mut found);
    checker.check_losses(&mut found);
    checker.check_evacuations(&mut found);
    checker.check_finished_evacuations(&mut found);
    checker.check_draining(&mut found);
    checker.check_routes(&mut found);
    checker.check_commands(&mut found);
    checker.check_key_leases(&mut found);
    found.sort_by_key(|violation| violation.at);
    found
}

/// Returns the number of requests that reached an evacuated zone or a draining worker late, from a
/// node that was not in contact.
pub fn excused_late_arrivals(seen: &Observations) -> usize {
    let checker = Checker::new(seen);
    let in_zones = checker.late_in_evacuated_zones();
    let in_zones = in_zones.iter().map(|arrival| (arrival.request, arrival.run));
    let draining = checker.late_at_draining_workers();
    in_zones
        .chain(draining)
        .filter(|(request, run)| !checker.is_in_contact(request.node, run.began_at))
        .count()
}

struct Checker<'a> {
    seen: &'a Observations,
    requests: HashMap<&'a str, &'a Request>,
    runs: HashMap<&'a str, Vec<&'a Run>>,
}

impl<'a> Checker<'a> {
    fn new(seen: &'a Observations) -> Checker<'a> {
        let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in &seen.runs {
            runs.entry(&run.id).or_default().push(run);
        }
        Checker {
            seen,
            requests: seen.requests.iter().map(|r| (r.id.as_str(), r)).collect(),
            runs,
        }
    }

    fn runs_of(&self, id: &str) -> &[&'a Run] {
        self.runs.get(id).map_or(&[], Vec::as_slice)
    }

    /// Returns whether no fault other than a settings reload affected a node during a period.
    fn is_node_undisturbed(&self, node: u8, from: u64, to: u64) -> bool {
        let of_node = self.seen.node_faults.iter().filter(|f| f.node == node);
        let disturbs =
            |f: &NodeFault| f.kind != NodeFaultKind::SettingsReload && f.at <= to && f.until >= from;
        !of_node.into_iter().any(disturbs)
    }

    /// Returns whether no fault other than a settings reload began or ended at a voter during a
    /// period.
    fn is_core_stable(&self, from: u64, to: u64) -> bool {
        let within = |at: u64| from <= at && at <= to;
        let voters = self.seen.node_faults.iter().filter(|f| f.is_voter);
        !voters
            .filter(|f| f.kind != NodeFaultKind::SettingsReload)
            .any(|f| within(f.at) || within(f.until))
    }

    fn is_in_contact(&self, node: u8, at: u64) -> bool {
        let from = at.saturating_sub(bounds::CONTACT_MS);
        self.is_node_undisturbed(node, from, at) && self.is_core_stable(from, at)
    }

    /// Rules TWICE and REFUSED: a non-idempotent request runs at most once, and not at all if it
    /// was refused.
    fn check_runs(&self, found: &mut Vec<Violation>) {
        for (id, runs) in &self.runs {
            let Some(request) = self.requests.get(id).filter(|r| !r.is_idempotent) else {
                continue;
            };
            if runs.len() > 1 {
                found.push(violation("TWICE", request, runs, "ran more than once"));
            }
            if let Ending::Answered { status, .. } = request.ending {
                if [408, 421, 429, 503].contains(&status) {
                    let description = format!("ran, and was answered with {status}");
                    found.push(violation("REFUSED", request, runs, &description));
                }
            }
        }
    }

    /// Rule MIXED: an answer belongs to its request.
    fn check_answers(&self, found: &mut Vec<Violation>) {
        for request in &self.seen.requests {
            if matches!(
                request.ending,
                Ending::Answered {
                    matches_request: false,
                    ..
                }
            ) {
                let runs = self.runs_of(&request.id);
                found.push(violation(
                    "MIXED",
                    request,
                    runs,
                    "got the answer to another request",
                ));
            }
        }
    }

    /// Rule LOST: a terminating node cuts no accepted request, and a node without faults cuts few.
    fn check_losses(&self, found: &mut Vec<Violation>) {
        let mut unexplained: BTreeMap<u8, Vec<&Request>> = BTreeMap::new();
        let cut = self.seen.requests.iter().filter(|r| r.ending == Ending::Closed);
        for request in cut.filter(|r| r.ended_at < r.sent_at + r.deadline_ms) {
            let runs = self.runs_of(&request.id);
            let was_read = !runs.is_empty() || request.ended_at > request.sent_at + bounds::LOSS_SLACK_MS;
            if !was_read || runs.iter().any(|run| self.worker_ended_during(run, request)) {
                continue;
            }
            let of_node = self.seen.node_faults.iter().filter(|f| f.node == request.node);
            let mut overlapping = of_node.filter(|f| {
                let until = f.until.saturating_add(bounds::CONTACT_MS);
                f.at <= request.ended_at && request.sent_at.saturating_sub(bounds::CONTACT_MS) <= until
            });
            let termination = overlapping.clone().find(|f| {
                f.kind == NodeFaultKind::Terminated
                    && f.at <= request.ended_at
                    && request.ended_at <= f.at + bounds::GRACE_PERIOD_MS + 1000
            });
            let is_unplanned =
                overlapping.any(|f| matches!(f.kind, NodeFaultKind::Killed | NodeFaultKind::Frozen));
            match termination {
                _ if is_unplanned => {}
                Some(termination) if is_cut_allowed(termination, request, runs) => {}
                Some(termination) => {
                    let after_ms = request.ended_at - termination.at;
                    let description = format!("was cut off {after_ms} ms after SIGTERM");
                    found.push(violation("LOST", request, runs, &description));
                }
                None if !runs.is_empty() => unexplained.entry(request.node).or_default().push(request),
                None => {}
            }
        }
        for (node, requests) in unexplained {
            if let Some(last) = requests.get(MAX_UNEXPLAINED_CUTS) {
                let description = format!(
                    "is one of {} requests that node {node} cut without a cause",
                    requests.len()
                );
                found.push(violation("LOST", last, self.runs_of(&last.id), &description));
            }
        }
    }

    /// Returns whether the worker of a run ended after the run began and no later than the request.
    fn worker_ended_during(&self, run: &Run, request: &Request) -> bool {
        let ended_at = self.seen.workers.get(&run.worker).and_then(|w| w.ended_at);
        ended_at.is_some_and(|at| at >= run.began_at && at <= request.ended_at)
    }

    /// Returns the requests that reached a worker after the time for which a draining worker may get
    /// them.
    fn late_at_draining_workers(&self) -> Vec<(&'a Request, &'a Run)> {
        let is_late = |run: &&Run| {
            let facts = self.seen.workers.get(&run.worker);
            let draining_at = facts.and_then(|w| w.draining_at);
            draining_at.is_some_and(|at| run.began_at > at + bounds::DRAIN_MS + bounds::LAG_MS)
        };
        let late = self.seen.runs.iter().filter(is_late);
        late.filter_map(|run| Some((*self.requests.get(run.id.as_str())?, run)))
            .collect()
    }

    /// Rule DRAIN: a draining worker receives no requests.
    fn check_draining(&self, found: &mut Vec<Violation>) {
        for (request, run) in self.late_at_draining_workers() {
            if self.is_in_contact(request.node, run.began_at) {
                let description = format!("reached {}, which is draining", run.worker);
                found.push(violation("DRAIN", request, &[run], &description));
            }
        }
    }

    /// Rule CONFIG: requests follow the route that configurations add and drop.
    fn check_routes(&self, found: &mut Vec<Violation>) {
        let is_on_route = |r: &&Request| r.path.starts_with(super::Routes::EXTRA);
        for request in self.seen.requests.iter().filter(is_on_route) {
            if !self.is_in_contact(request.node, request.sent_at) {
                continue;
            }
            let allowed = self.routes_allowed(request);
            let runs = self.runs_of(&request.id);
            let is_refused = matches!(request.ending, Ending::Answered { status: 404, .. });
            if is_refused && allowed == [true] {
                found.push(violation(
                    "CONFIG",
                    request,
                    runs,
                    "got 404, although its route is present",
                ));
            }
            if !runs.is_empty() && allowed == [false] {
                found.push(violation(
                    "CONFIG",
                    request,
                    runs,
                    "ran, although its route was dropped",
                ));
            }
        }
    }

    /// Returns the possible states of the added and dropped route (present or not), by all
    /// configurations that may be in force for a request.
    fn routes_allowed(&self, request: &Request) -> Vec<bool> {
        let mut allowed = Vec::new();
        let configurations: Vec<(&Command, bool)> = self.configurations().collect();
        for (index, (command, has_route)) in configurations.iter().enumerate() {
            let is_superseded = configurations[index + 1..].iter().any(|(later, _)| {
                let acknowledged_at = later.acknowledged_at;
                acknowledged_at.is_some_and(|at| at + bounds::CONFIG_APPLY_MS < request.sent_at)
            });
            if command.sent_at <= request.ended_at && !is_superseded && !allowed.contains(has_route) {
                allowed.push(*has_route);
            }
        }
        allowed
    }

    fn configurations(&self) -> impl Iterator<Item = (&'a Command, bool)> {
        self.seen
            .commands
            .iter()
            .filter_map(|command| match command.kind {
                CommandKind::Configuration { has_extra_route, .. } => Some((command, has_extra_route)),
                CommandKind::Evacuation { .. } => None,
            })
    }

    /// Rule CONFIG: no valid command is refused, and the acknowledged version can be read back.
    fn check_commands(&self, found: &mut Vec<Violation>) {
        for command in self.seen.commands.iter().filter(|c| c.is_refused) {
            found.push(Violation {
                rule: "CONFIG",
                at: command.sent_at,
                description: format!("{:?} was refused, although it is valid", command.kind),
                log_terms: Vec::new(),
            });
        }
        let acknowledged = self.seen.commands.iter().filter(|c| c.acknowledged_at.is_some());
        let versions = acknowledged.filter_map(|command| match command.kind {
            CommandKind::Configuration { version, .. } => Some(version),
            CommandKind::Evacuation { .. } => None,
        });
        let newest = versions.max().unwrap_or(0);
        if let Some((read, at)) = self.seen.read_back.filter(|(read, _)| *read < newest) {
            found.push(Violation {
                rule: "CONFIG",
                at,
                description: format!("version {read} was read back, but {newest} was acknowledged"),
                log_terms: vec!["event=configuration".into()],
            });
        }
    }

    /// Rule OWNER: a key has one owner.
    fn check_key_leases(&self, found: &mut Vec<Violation>) {
        let mut key_leases: Vec<&KeyLease> = self
            .seen
            .key_leases
            .iter()
            .filter(|l| l.since < l.until)
            .collect();
        key_leases.sort_by_key(|l| l.since);
        for (index, later) in key_leases.iter().enumerate() {
            let earlier = key_leases[..index].iter();
            for earlier in earlier.filter(|l| l.worker != later.worker && l.until > later.since) {
                let keys = (earlier.from.max(later.from), earlier.to.min(later.to));
                let span = (later.since, earlier.until.min(later.until));
                if keys.0 > keys.1 {
                    continue;
                }
                let shared_ms = span.1 - span.0;
                let both_run = self.ran_requests(&earlier.worker, keys, span)
                    && self.ran_requests(&later.worker, keys, span);
                if shared_ms > bounds::MAX_SHARED_KEYS_MS || both_run {
                    found.push(Violation {
                        rule: "OWNER",
                        at: span.0,
                        description: format!(
                            "{} (token {}) and {} (token {}) both held keys {} to {} for {shared_ms} ms",
                            earlier.worker, earlier.token, later.worker, later.token, keys.0, keys.1
                        ),
                        log_terms: vec![
                            format!("worker={} ", earlier.worker),
                            format!("worker={} ", later.worker),
                        ],
                    });
                }
            }
        }
    }

    /// Returns whether a worker began requests on these keys during a period.
    fn ran_requests(&self, worker: &str, keys: (u32, u32), span: (u64, u64)) -> bool {
        let mut runs = self.seen.runs.iter().filter(|run| run.worker == worker);
        runs.any(|run| {
            let on_keys = run.key.is_some_and(|key| keys.0 <= key && key <= keys.1);
            on_keys && span.0 <= run.began_at && run.began_at < span.1
        })
    }
}

/// Returns whether the shutdown of a node may cut a request: the request was sent early, and its
/// worker was at work in the last sixth of the grace period.
fn is_cut_allowed(termination: &NodeFault, request: &Request, runs: &[&Run]) -> bool {
    let last_sixth = termination.at + bounds::GRACE_PERIOD_MS * 5 / 6;
    let at_work = |run: &&Run| run.ended_at.is_none_or(|at| at >= last_sixth);
    let is_early = request.sent_at <= termination.at + bounds::EARLY_AFTER_TERM_MS;
    is_early && request.ended_at >= last_sixth && runs.iter().any(at_work)
}

fn violation(rule: &'static str, request: &Request, runs: &[&Run], description: &str) -> Violation {
    let at = request.sent_at;
    let run_descriptions: Vec<String> = runs
        .iter()
        .map(|run| format!("{} from {} to {:?}", run.worker, run.began_at, run.ended_at))
        .collect();
    Violation {
        rule,
        at,
        description: format!(
            "{} {} {description}; sent to node {} at {at}, ended at {}: {:?}; ran at {run_descriptions:?}",
            request.id, request.path, request.node, request.ended_at, request.ending
        ),
        log_terms: vec![request.id.clone()],
    }
}
