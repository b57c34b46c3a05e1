//! The checker finds each kind of violation, and none in a valid history.

use fleet_test::checker::{violations, Answer, Call, Command, History, Operation};

/// Builds a history of commands (base, version) and calls. Calls start and end at the given
/// milliseconds.
struct HistoryBuilder(History);

fn commands(list: &[(u64, u64)]) -> HistoryBuilder {
    let command = |(n, (base, version)): (usize, &(u64, u64))| Command {
        base: *base,
        version: *version,
        body: format!("{{body of command {n}}}").into_bytes(),
    };
    HistoryBuilder(History {
        commands: list.iter().enumerate().map(command).collect(),
        calls: Vec::new(),
    })
}

fn acknowledged() -> Answer {
    Answer::Success(b"{}".to_vec())
}

fn version_conflict() -> Answer {
    Answer::Refused(412, "Base-Version is not the current version".into())
}

fn no_answer() -> Answer {
    Answer::Indeterminate("no answer within 1 s".into())
}

impl HistoryBuilder {
    fn call(mut self, operation: Operation, from: u64, to: u64, answer: Answer) -> HistoryBuilder {
        self.0.calls.push(Call {
            operation,
            node: 1,
            sent_at_us: from * 1000,
            ended_at_us: to * 1000,
            answer,
        });
        self
    }

    fn replace(self, command: usize, from: u64, to: u64, answer: Answer) -> HistoryBuilder {
        self.call(Operation::Replace(command), from, to, answer)
    }

    /// Adds a read that returns the configuration of a command.
    fn read(self, command: usize, from: u64, to: u64) -> HistoryBuilder {
        let body = self.0.commands[command].body.clone();
        self.call(Operation::Read, from, to, Answer::Success(body))
    }

    fn assert_violation(self, expected: &str) {
        let found = violations(&self.0);
        assert!(
            found.iter().any(|f| f.contains(expected)),
            "{expected}: {found:?}"
        );
    }

    fn assert_no_violations(self) {
        assert_eq!(violations(&self.0), Vec::<String>::new());
    }
}

/// Returns a history in which versions 1 and 2 were accepted one after the other.
fn two_accepted(list: &[(u64, u64)]) -> HistoryBuilder {
    commands(list)
        .replace(0, 0, 1, acknowledged())
        .replace(1, 2, 3, acknowledged())
}

#[test]
fn valid_history_has_no_violations() {
    two_accepted(&[(0, 1), (1, 2), (2, 3), (2, 3), (3, 5)])
        .read(1, 4, 5)
        // Two commands race. The loser is refused; the winner is acknowledged only when it is sent
        // again.
        .replace(2, 6, 10, no_answer())
        .replace(3, 6, 9, version_conflict())
        .read(2, 7, 9)
        .replace(2, 11, 12, acknowledged())
        .replace(0, 13, 14, acknowledged())
        // Without a definite answer the command may be in force or not.
        .replace(4, 15, 16, no_answer())
        .read(2, 17, 18)
        .assert_no_violations();
}

#[test]
fn read_concurrent_with_a_change_may_return_either_version() {
    let base = || {
        commands(&[(0, 1), (1, 2)])
            .replace(0, 0, 1, acknowledged())
            .replace(1, 2, 9, acknowledged())
    };
    base()
        .read(0, 3, 8)
        .read(1, 3, 4)
        .read(1, 10, 11)
        .assert_no_violations();
}

#[test]
fn two_changes_on_one_base_are_not_both_acknowledged() {
    two_accepted(&[(0, 1), (1, 2), (1, 3)])
        .replace(2, 4, 5, acknowledged())
        .assert_violation("2 changes on top of version 1");
}

#[test]
fn accepted_command_is_not_refused_later() {
    two_accepted(&[(0, 1), (1, 2), (2, 3)])
        .replace(2, 4, 5, acknowledged())
        .replace(1, 6, 7, version_conflict())
        .assert_violation("was accepted, and refused with 412");
    // The same holds if only a read shows that the command was accepted.
    two_accepted(&[(0, 1), (1, 2), (2, 3)])
        .replace(2, 4, 5, no_answer())
        .read(2, 6, 7)
        .replace(2, 8, 9, version_conflict())
        .assert_violation("was accepted, and refused with 412");
}

#[test]
fn command_on_the_current_version_is_not_refused() {
    two_accepted(&[(0, 1), (1, 2), (2, 3)])
        .replace(2, 4, 5, version_conflict())
        .assert_violation("on 2, the current version, was refused");
}

#[test]
fn command_may_be_refused_if_a_concurrent_one_may_have_won() {
    two_accepted(&[(0, 1), (1, 2), (2, 3), (2, 4)])
        .replace(3, 4, 5, no_answer())
        .replace(2, 6, 7, version_conflict())
        .read(3, 8, 9)
        .assert_no_violations();
}

#[test]
fn reads_do_not_return_older_versions() {
    let list = [(0, 1), (1, 2), (2, 3)];
    two_accepted(&list)
        .read(0, 4, 5)
        .assert_violation("showed version 1 after 2");
    two_accepted(&list)
        .replace(2, 4, 5, no_answer())
        .read(2, 6, 7)
        .read(1, 8, 9)
        .assert_violation("showed version 2 after 3");
}

#[test]
fn reads_return_only_configurations_that_were_sent_before() {
    let list = [(0, 1), (1, 2), (2, 3)];
    two_accepted(&list)
        .call(Operation::Read, 4, 5, acknowledged())
        .assert_violation("with a configuration that nobody sent");
    two_accepted(&list)
        .read(2, 4, 5)
        .replace(2, 6, 7, acknowledged())
        .assert_violation("showed version 3 before it was sent");
    two_accepted(&list)
        .call(Operation::Read, 4, 5, Answer::Refused(404, String::new()))
        .assert_violation("refused a read with 404");
}

#[test]
fn acknowledged_change_is_an_ancestor_of_the_last_read() {
    // Version 2 on 1 was acknowledged, but in the end version 3 on 1 is in force.
    two_accepted(&[(0, 1), (1, 2), (1, 3)])
        .replace(2, 4, 5, no_answer())
        .read(2, 6, 7)
        .assert_violation("version 2 (command 1) was acknowledged, and is not part");
}

#[test]
fn answer_matches_its_own_call() {
    let list = [(0, 1), (1, 2)];
    let invalid = |mark: &str| Operation::Invalid(mark.into());
    let refused = Answer::Refused(400, "rule `bad-2`: RouteType is unknown".into());
    two_accepted(&list)
        .call(invalid("bad-2"), 4, 5, refused.clone())
        .call(invalid("bad-2"), 6, 7, no_answer())
        .assert_no_violations();
    two_accepted(&list)
        .call(invalid("bad-1"), 4, 5, refused)
        .assert_violation("belongs to another call");
    two_accepted(&list)
        .call(invalid("bad-1"), 4, 5, acknowledged())
        .assert_violation("belongs to another call");
    let body = Answer::Success(b"{\"Version\":1}".to_vec());
    two_accepted(&list)
        .replace(1, 4, 5, body.clone())
        .assert_violation("belongs to another call");
    let zone = Operation::Evacuate {
        zone: "z".into(),
        begin: true,
    };
    two_accepted(&list)
        .call(zone, 4, 5, body.clone())
        .assert_violation("belongs to another call");
    two_accepted(&list)
        .call(Operation::Status, 4, 5, body)
        .assert_violation("belongs to another call");
}
