//! Commands are decided by the log alone: every history of two operators over a few bases, with
//! commands sent again in any order and after any snapshot, and commands without a base version
//! that are identified by their tags.

use config::constants as c;
use control_state::{CommandDecision, Confirmation, ControlState, Outcome, RecentCommands};
use protocol::{Change, ChangeKind, CommandTag, ConfigurationCommand, EvacuationChange};
use std::collections::BTreeMap;

/// Longest time for which callers send a command again, ms.
const RESEND_MS: u64 = 6000;

fn command(base: u64, version: u64, note: &str) -> ConfigurationCommand {
    let body = format!(
        r#"{{"Version":{version},"Limits":{{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"}},"AccessPoints":[],"Groups":[],"Note":"{note}"}}"#
    );
    ConfigurationCommand {
        base,
        body: body.into_bytes(),
        ..Default::default()
    }
}

fn send(state: &mut ControlState, command: &ConfigurationCommand) -> Outcome {
    let data = Change::encode(ChangeKind::Replace(command.clone()));
    state.apply(state.index + 1, &data)
}

fn restored(state: &ControlState) -> ControlState {
    ControlState::from_image(state.image()).expect("readable")
}

#[test]
fn accepted_command_is_never_rejected_when_sent_again() {
    let mut state = ControlState::default();
    let commands: Vec<_> = (1..=40).map(|v| command(v - 1, v, "one")).collect();
    for first in &commands {
        assert_eq!(send(&mut state, first), Outcome::Applied);
    }
    let mut state = restored(&state);
    for again in &commands {
        assert_eq!(
            send(&mut state, again),
            Outcome::AlreadyApplied,
            "command on base {}",
            again.base
        );
        let other = command(again.base, again.base + 1, "another operator's");
        assert_eq!(
            send(&mut state, &other),
            Outcome::Conflict(40),
            "another command on base {}",
            again.base
        );
    }
    assert_eq!(state.version(), 40);
}

#[test]
fn forgotten_command_is_neither_rejected_nor_confirmed() {
    let mut state = ControlState::default();
    let last = c::MAX_ACCEPTED_COMMANDS as u64 + 10;
    for v in 1..=last {
        assert_eq!(send(&mut state, &command(v - 1, v, "one")), Outcome::Applied);
    }
    let mut state = restored(&state);
    for v in 1..=last {
        let expected = if v <= 10 {
            Outcome::Undecidable
        } else {
            Outcome::AlreadyApplied
        };
        assert_eq!(
            send(&mut state, &command(v - 1, v, "one")),
            expected,
            "version {v}"
        );
    }
    assert_eq!(send(&mut state, &command(3, 4, "two")), Outcome::Undecidable);
    assert_eq!(send(&mut state, &command(50, 51, "two")), Outcome::Conflict(last));
    let sizes = state.command_history.sizes();
    assert_eq!(
        (sizes.accepted, sizes.rejected_ahead, sizes.tagged),
        (c::MAX_ACCEPTED_COMMANDS, 0, 0)
    );
}

#[test]
fn invalid_configuration_is_rejected_on_a_forgotten_base() {
    let mut state = ControlState::default();
    for v in 1..=c::MAX_ACCEPTED_COMMANDS as u64 + 10 {
        assert_eq!(send(&mut state, &command(v - 1, v, "one")), Outcome::Applied);
    }
    let broken = ConfigurationCommand {
        base: 0,
        body: b"{".to_vec(),
        ..Default::default()
    };
    assert!(matches!(send(&mut state, &broken), Outcome::Invalid(_)));
    assert_eq!(send(&mut state, &command(0, 1, "two")), Outcome::Undecidable);
}

#[test]
fn command_rejected_ahead_of_its_base_stays_rejected() {
    let mut state = ControlState::default();
    send(&mut state, &command(0, 1, "one"));
    let early = command(2, 3, "early");
    assert_eq!(send(&mut state, &early), Outcome::Conflict(1));
    send(&mut state, &command(1, 2, "one"));
    let mut state = restored(&state);
    assert_eq!(
        send(&mut state, &early),
        Outcome::Conflict(2),
        "the operator was told of the rejection"
    );
    assert_eq!(send(&mut state, &command(2, 3, "in time")), Outcome::Applied);
    // The history is filled with such rejections; a further one gets no definite answer.
    for i in 0..c::MAX_REJECTED_AHEAD_COMMANDS as u64 {
        assert_eq!(send(&mut state, &command(90 + i, 200, "")), Outcome::Conflict(3));
    }
    assert_eq!(send(&mut state, &command(80, 200, "")), Outcome::Undecidable);
}

#[test]
fn modify_is_logged_as_a_modification_and_recognized_again() {
    let mut state = ControlState::default();
    send(&mut state, &command(0, 3, "kept"));
    let modify = |base: u64, text: &str| ConfigurationCommand {
        base,
        modification: text.as_bytes().to_vec(),
        ..Default::default()
    };
    let add = modify(3, r#"{"Version":5,"Upsert":{"Groups":[{"Name":"t"}]}}"#);
    assert_eq!(send(&mut state, &add), Outcome::Applied);
    assert_eq!(send(&mut state, &command(5, 6, "next")), Outcome::Applied);
    let mut state = restored(&state);
    assert_eq!(
        send(&mut state, &add),
        Outcome::AlreadyApplied,
        "a later change has been applied in between"
    );
    let other = modify(3, r#"{"Version":5,"Upsert":{"Groups":[{"Name":"u"}]}}"#);
    assert_eq!(send(&mut state, &other), Outcome::Conflict(6));
    let version_too_low = modify(6, r#"{"Version":5}"#);
    assert!(matches!(send(&mut state, &version_too_low), Outcome::Invalid(_)));
}

/// A leader that was partitioned holds version 1, while versions 2 and 3 were committed without it.
#[test]
fn unconfirmed_copy_gives_no_final_decision() {
    let mut stale = ControlState::default();
    send(&mut stale, &command(0, 1, "one"));
    let mut current = restored(&stale);
    send(&mut current, &command(1, 2, "one"));
    send(&mut current, &command(2, 3, "one"));
    let commands = [
        command(0, 1, "one"),
        command(0, 1, "two"),
        command(1, 2, "two"),
        command(2, 9, "two"),
        command(3, 4, "one"),
        command(1, 1, "low"),
    ];
    for command in &commands {
        assert!(
            !matches!(
                stale.decide(command, Confirmation::Unconfirmed),
                CommandDecision::Final(_)
            ),
            "{}",
            command.base
        );
        // The final decision of a confirmed copy equals the outcome of the log entry.
        match current.decide(command, Confirmation::Confirmed) {
            CommandDecision::Final(outcome) => assert_eq!(outcome, send(&mut current.clone(), command)),
            decision => assert_eq!((decision, command.base), (CommandDecision::Log, 3)),
        }
    }
}

/// Two operators have three commands each, on three bases. Runs every history of six steps in which
/// any of the commands is sent or sent again, with the state restored from its image in between.
#[test]
fn no_command_is_both_accepted_and_rejected_in_any_history_of_two_operators() {
    const STEPS: usize = 6;
    let all: Vec<ConfigurationCommand> = (0..3)
        .flat_map(|base| ["one", "two"].map(|operator| command(base, base + 1, operator)))
        .collect();
    let mut histories = 0;
    let mut unexplored = vec![(ControlState::default(), BTreeMap::<usize, bool>::new(), 0)];
    while let Some((state, answers, depth)) = unexplored.pop() {
        histories += 1;
        if depth == STEPS {
            continue;
        }
        for (i, command) in all.iter().enumerate() {
            let mut next = if depth % 3 == 2 {
                restored(&state)
            } else {
                state.clone()
            };
            let mut answers = answers.clone();
            let outcome = send(&mut next, command);
            let accepted = match outcome {
                Outcome::Applied => {
                    assert!(!answers.contains_key(&i), "executed twice or after a rejection");
                    true
                }
                Outcome::AlreadyApplied => true,
                Outcome::Conflict(_) => false,
                other => panic!("{other:?}"),
            };
            assert_eq!(
                *answers.entry(i).or_insert(accepted),
                accepted,
                "command {i} was both accepted and rejected"
            );
            let concurrent = i ^ 1;
            assert!(
                !(accepted && answers.get(&concurrent) == Some(&true)),
                "two commands accepted on one base"
            );
            unexplored.push((next, answers, depth + 1));
        }
    }
    assert!(histories > 50_000, "{histories} histories");
}

fn evacuation(begin: bool) -> ChangeKind {
    ChangeKind::Evacuate(EvacuationChange {
        zone: "z".into(),
        begin,
    })
}

fn tag(number: u64, as_of: u64, begin: bool) -> CommandTag {
    CommandTag {
        incarnation: 7,
        number,
        as_of,
        subject: 1,
        digest: 2 + u64::from(begin),
        repeats: 0,
        cautious: false,
        awaited_at: 0,
    }
}

#[test]
fn forwarded_command_is_executed_once_with_any_leader() {
    let mut state = ControlState::default();
    let begin = tag(1, 0, true);
    let send = |state: &mut ControlState, tag: &CommandTag, begin: bool| {
        state.apply(
            state.index + 1,
            &Change::encode_tagged(evacuation(begin), Some(tag.clone())),
        )
    };
    assert_eq!(send(&mut state, &begin, true), Outcome::Applied);
    let mut state = restored(&state);
    assert_eq!(send(&mut state, &begin, true), Outcome::AlreadyApplied);
    assert_eq!(state.evacuated["z"], 1);
    // Another operator's command, and one that the leader marks as its repetition.
    assert_eq!(send(&mut state, &tag(2, 2, true), true), Outcome::Applied);
    let repeats = CommandTag {
        repeats: state
            .command_history
            .repeated_by(&tag(3, 3, true))
            .expect("an identical command"),
        ..tag(3, 3, true)
    };
    assert_eq!(send(&mut state, &repeats, true), Outcome::AlreadyApplied);
    assert_eq!(state.evacuated["z"], 2);
    assert_eq!(send(&mut state, &tag(4, 4, false), false), Outcome::Applied);
    assert_eq!(
        state.command_history.repeated_by(&tag(5, 4, true)),
        None,
        "another command on the zone came in between"
    );
    // A command that the history has dropped is not executed and gets no definite answer.
    for n in 10..10 + 2 * c::MAX_TAGGED_COMMANDS as u64 {
        send(&mut state, &tag(n, n, n % 2 == 0), n % 2 == 0);
    }
    let before = state.evacuated.clone();
    assert_eq!(send(&mut state, &begin, true), Outcome::Undecidable);
    assert_eq!(state.evacuated, before);
    assert_eq!(state.command_history.sizes().tagged, c::MAX_TAGGED_COMMANDS);
}

/// The leader marks a command as a repetition based on the entries that it has applied, while its
/// log already holds a later command on the zone.
#[test]
fn repetition_is_recognized_only_without_another_command_in_between() {
    let send = |state: &mut ControlState, tag: CommandTag, begin: bool| {
        state.apply(
            state.index + 1,
            &Change::encode_tagged(evacuation(begin), Some(tag)),
        )
    };
    let mut state = ControlState::default();
    assert_eq!(send(&mut state, tag(1, 0, true), true), Outcome::Applied);
    let repeats = CommandTag {
        repeats: state
            .command_history
            .repeated_by(&tag(3, 1, true))
            .expect("an identical command"),
        ..tag(3, 1, true)
    };
    assert_eq!(send(&mut state, tag(2, 1, false), false), Outcome::Applied);
    assert_eq!(
        send(&mut state, repeats, true),
        Outcome::Applied,
        "an acknowledged command must be in force"
    );
    assert_eq!(state.evacuated.get("z"), Some(&1));
    // In doubt the zone stays evacuated: a finish identical to a recent one is a repetition even
    // if a begin came in between.
    let finish = CommandTag {
        cautious: true,
        ..tag(4, 3, false)
    };
    assert_eq!(send(&mut state, finish, false), Outcome::Applied);
    assert_eq!(send(&mut state, tag(5, 4, true), true), Outcome::Applied);
    let finish = CommandTag {
        cautious: true,
        ..tag(6, 5, false)
    };
    let repeats = state
        .command_history
        .repeated_by(&finish)
        .expect("an identical command");
    assert_eq!(
        send(
            &mut state,
            CommandTag {
                repeats,
                ..finish.clone()
            },
            false
        ),
        Outcome::PossibleRepetition,
        "a finish was acknowledged although the zone stays evacuated"
    );
    assert_eq!(state.evacuated.get("z"), Some(&1));
    // The same call of the earlier finish, delivered again, is certainly a repetition.
    let earlier = CommandTag {
        cautious: true,
        ..tag(4, 3, false)
    };
    assert_eq!(send(&mut state, earlier, false), Outcome::AlreadyApplied);
    assert_eq!(state.evacuated.get("z"), Some(&1));
    // Once it can no longer be a repetition, it is executed.
    assert_eq!(send(&mut state, finish, false), Outcome::Applied);
    assert_eq!(state.evacuated.get("z"), None);
}

#[test]
fn command_pending_in_the_log_is_recognized_as_repeated() {
    let mut state = ControlState::default();
    let mut first = tag(1, 0, true);
    let command_history = &state.command_history;
    // The first command is in the log but not applied yet.
    let log = [(1, &first)];
    let repeats = command_history.recent_identical(&tag(2, 0, true), log.into_iter(), |_| false);
    assert_eq!(repeats, Some(1));
    // A command in between is considered only when the entry is applied.
    let finish = tag(2, 0, false);
    let log = [(1, &first), (2, &finish)];
    assert_eq!(
        command_history.recent_identical(&tag(3, 0, true), log.into_iter(), |_| true),
        Some(1)
    );
    let mut with_finish_between = state.clone();
    for (index, tag, begin) in [
        (1, tag(1, 0, true), true),
        (2, tag(2, 0, false), false),
        (3, tag(3, 0, true), true),
    ] {
        let repeats = u64::from(index == 3);
        with_finish_between.apply(
            index,
            &Change::encode_tagged(evacuation(begin), Some(CommandTag { repeats, ..tag })),
        );
    }
    assert_eq!(
        with_finish_between.evacuated.get("z"),
        Some(&1),
        "the second begin was not executed"
    );
    for (index, tag) in [(1, tag(1, 0, true)), (2, tag(2, 0, true))] {
        let repeats = if index == 2 { 1 } else { 0 };
        state.apply(
            index,
            &Change::encode_tagged(evacuation(true), Some(CommandTag { repeats, ..tag })),
        );
    }
    assert_eq!(
        state.evacuated.get("z"),
        Some(&1),
        "a command sent twice was not executed exactly once"
    );
    first.number = 9;
    let repeated = |recent: bool| {
        state
            .command_history
            .recent_identical(&first, std::iter::empty(), |_| recent)
    };
    assert_eq!((repeated(true), repeated(false)), (Some(1), None));
}

#[test]
fn repetitions_of_repetitions_are_executed_once() {
    // All were sent while the first was pending, and each refers to the one before.
    let mut state = ControlState::default();
    for index in 1..=4 {
        let tag = CommandTag {
            repeats: index - 1,
            ..tag(index, 0, true)
        };
        state.apply(index, &Change::encode_tagged(evacuation(true), Some(tag)));
    }
    assert_eq!(state.evacuated.get("z"), Some(&1));
    // A repetition that changed nothing does not count as a command in between.
    let mut state = ControlState::default();
    let steps = [(1, false, 0), (2, true, 0), (3, false, 1), (4, true, 2)];
    for (index, begin, repeats) in steps {
        let tag = CommandTag {
            repeats,
            cautious: !begin,
            ..tag(index, 0, begin)
        };
        state.apply(index, &Change::encode_tagged(evacuation(begin), Some(tag)));
    }
    assert_eq!(state.evacuated.get("z"), Some(&1));
}

/// Guards against executing a command that was delayed between two nodes and arrives after newer
/// commands on its subject (EVAC): it must not be ordered after commands that its caller may have
/// sent since.
#[test]
fn command_older_than_another_on_its_subject_is_overtaken() {
    let mut state = ControlState::default();
    for (index, begin) in [(1, true), (2, false), (3, true)] {
        let data = Change::encode_tagged(evacuation(begin), Some(tag(index, index - 1, begin)));
        assert_eq!(state.apply(index, &data), Outcome::Applied);
    }
    let is_overtaken = |tag: &CommandTag| state.command_history.is_overtaken(tag, std::iter::empty());
    // The finish was first sent to a node that forwarded it too late.
    let late = tag(9, 1, false);
    assert!(is_overtaken(&late));
    // Its caller was still waiting when the node had applied the newest command.
    let awaited = CommandTag {
        awaited_at: 3,
        ..late.clone()
    };
    assert!(!is_overtaken(&awaited));
    assert!(!is_overtaken(&tag(9, 3, false)));
    // Sent again to a new leader, the command is itself the newest one, and the history holds it.
    assert!(!is_overtaken(&tag(3, 2, true)));
    // Commands on different subjects are not ordered against each other.
    let other_subject = CommandTag {
        subject: 7,
        ..late.clone()
    };
    assert!(!is_overtaken(&other_subject));
    // Commands pending in the leader's log are newer than everything that any node has applied.
    let pending = tag(4, 3, false);
    let history = &state.command_history;
    assert!(history.is_overtaken(&awaited, [(4, &pending)].into_iter()));
    assert!(!history.is_overtaken(&pending, [(4, &pending)].into_iter()));
}

/// Guards against executing a command a second time when its answers are lost for longer than the
/// time in which a command counts as a repetition of the first one (EVAC).
#[test]
fn command_that_keeps_being_sent_again_is_one_command() {
    let mut state = ControlState::default();
    let data = Change::encode_tagged(evacuation(true), Some(tag(1, 0, true)));
    state.apply(1, &data);
    let mut recent = RecentCommands::default();
    recent.record(1000, &state.command_history);
    let pause = c::REPEATED_COMMAND_WINDOW_MS - 1;
    for attempt in 1..=5 {
        let now = 1000 + attempt * pause;
        let again = tag(1 + attempt, 1, true);
        let repeated = recent.repeated(now, &state.command_history, &again, std::iter::empty(), RESEND_MS);
        assert_eq!(repeated, Some(1), "attempt {attempt}");
        recent.record_repetition(now, 1, &again);
    }
    let now = 1000 + 6 * pause + 1;
    let late = tag(9, 1, true);
    let repeated = recent.repeated(now, &state.command_history, &late, std::iter::empty(), RESEND_MS);
    assert_eq!(
        repeated, None,
        "a command that arrives much later is a new command"
    );
}

fn cautious_finish(number: u64, as_of: u64) -> CommandTag {
    CommandTag {
        cautious: true,
        ..tag(number, as_of, false)
    }
}

/// Returns a state in which a zone was evacuated, restored and evacuated again, at indexes 1 to 3.
fn evacuated_again() -> ControlState {
    let mut state = ControlState::default();
    for (index, begin) in [(1, true), (2, false), (3, true)] {
        let tag = CommandTag {
            cautious: !begin,
            ..tag(index, index - 1, begin)
        };
        let data = Change::encode_tagged(evacuation(begin), Some(tag));
        assert_eq!(state.apply(index, &data), Outcome::Applied);
    }
    state
}

fn repeated(recent: &RecentCommands, now: u64, state: &ControlState, tag: &CommandTag) -> Option<u64> {
    recent.repeated(now, &state.command_history, tag, std::iter::empty(), RESEND_MS)
}

/// Guards against a new command that counts as the repetition of one from long ago, because the
/// process has just started and does not know when that one was sent (RECOVER; review case 6).
#[test]
fn settled_command_is_not_repeated_for_a_process_that_has_just_started() {
    let mut state = evacuated_again();
    let mut recent = RecentCommands::default();
    recent.record(1000, &state.command_history);
    assert_eq!(recent.settleable_index(1000 + RESEND_MS - 1, RESEND_MS), None);
    assert_eq!(recent.settleable_index(1000 + RESEND_MS, RESEND_MS), Some(3));
    assert_eq!(state.apply(4, &Change::encode_settled(3)), Outcome::Applied);
    // All processes are killed and load the state.
    let state = restored(&state);
    let mut recent = RecentCommands::default();
    recent.record(10, &state.command_history);
    assert_eq!(repeated(&recent, 20, &state, &cautious_finish(9, 4)), None);
    assert_eq!(repeated(&recent, 20, &state, &tag(9, 4, true)), None);
    assert_eq!(recent.settleable_index(10 + RESEND_MS, RESEND_MS), None);
}

/// Guards against settling a command while its caller may still send it again.
#[test]
fn commands_are_settled_in_order_and_not_before_their_last_repetition() {
    let state = evacuated_again();
    let mut recent = RecentCommands::default();
    recent.record(1000, &state.command_history);
    recent.record_repetition(3000, 3, &tag(9, 3, true));
    assert_eq!(recent.settleable_index(1000 + RESEND_MS, RESEND_MS), Some(2));
    recent.record_repetition(3000, 1, &tag(9, 3, true));
    assert_eq!(recent.settleable_index(1000 + RESEND_MS, RESEND_MS), None);
    assert_eq!(recent.settleable_index(3000 + RESEND_MS, RESEND_MS), Some(3));
}

/// Guards against a doubt that never ends: a finish that may be a repetition is refused for as long
/// as callers may send the earlier one again, however often it is sent meanwhile.
#[test]
fn doubt_about_a_finish_ends_while_it_is_sent_again() {
    let state = evacuated_again();
    let mut recent = RecentCommands::default();
    recent.record(1000, &state.command_history);
    for now in (1000..1000 + RESEND_MS).step_by(500) {
        let again = cautious_finish(now, 3);
        assert_eq!(repeated(&recent, now, &state, &again), Some(2), "at {now} ms");
        recent.record_repetition(now, 2, &again);
    }
    let again = cautious_finish(9, 3);
    assert_eq!(repeated(&recent, 1000 + RESEND_MS, &state, &again), None);
}
