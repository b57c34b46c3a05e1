//! Orders judged by the log alone: every history of two operators over a few bases, sent
//! again in any order and after any snapshot, and commands without a base by their tags.

use config::constants as c;
use control_state::{Confirmation, ControlState, Judgement, Outcome, RecentCommands};
use protocol::{Change, ChangeKind, CommandTag, ConfigurationCommand, EvacuationChange};
use std::collections::BTreeMap;

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
    for o in &commands {
        assert_eq!(send(&mut state, o), Outcome::Applied);
    }
    let mut state = restored(&state);
    for o in &commands {
        assert_eq!(send(&mut state, o), Outcome::AlreadyApplied, "on {}", o.base);
        let other = command(o.base, o.base + 1, "another operator's");
        assert_eq!(send(&mut state, &other), Outcome::Conflict(40), "on {}", o.base);
    }
    assert_eq!(state.version(), 40);
}

#[test]
fn forgotten_command_is_neither_rejected_nor_confirmed() {
    let mut state = ControlState::default();
    let last = c::ACCEPTED_REMEMBERED as u64 + 10;
    for v in 1..=last {
        assert_eq!(send(&mut state, &command(v - 1, v, "one")), Outcome::Applied);
    }
    let mut state = restored(&state);
    for v in 1..=last {
        let wanted = if v <= 10 {
            Outcome::Undecidable
        } else {
            Outcome::AlreadyApplied
        };
        assert_eq!(send(&mut state, &command(v - 1, v, "one")), wanted, "version {v}");
    }
    assert_eq!(send(&mut state, &command(3, 4, "two")), Outcome::Undecidable);
    assert_eq!(send(&mut state, &command(50, 51, "two")), Outcome::Conflict(last));
    let sizes = state.command_history.sizes();
    assert_eq!(
        (sizes.accepted, sizes.rejected_ahead, sizes.tagged),
        (c::ACCEPTED_REMEMBERED, 0, 0)
    );
}

#[test]
fn invalid_configuration_is_rejected_on_a_forgotten_base() {
    let mut state = ControlState::default();
    for v in 1..=c::ACCEPTED_REMEMBERED as u64 + 10 {
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
        "its refusal was told"
    );
    assert_eq!(send(&mut state, &command(2, 3, "in time")), Outcome::Applied);
    // As many as are remembered; beyond that nothing is promised.
    for i in 0..c::REJECTED_AHEAD_REMEMBERED as u64 {
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
        "also behind a later change"
    );
    let other = modify(3, r#"{"Version":5,"Upsert":{"Groups":[{"Name":"u"}]}}"#);
    assert_eq!(send(&mut state, &other), Outcome::Conflict(6));
    let low = modify(6, r#"{"Version":5}"#);
    assert!(matches!(send(&mut state, &low), Outcome::Invalid(_)));
}

/// A leader that was cut off holds version 1; since then 2 and 3 were taken elsewhere.
#[test]
fn unconfirmed_copy_gives_no_final_judgement() {
    let mut old = ControlState::default();
    send(&mut old, &command(0, 1, "one"));
    let mut new = restored(&old);
    send(&mut new, &command(1, 2, "one"));
    send(&mut new, &command(2, 3, "one"));
    let commands = [
        command(0, 1, "one"),
        command(0, 1, "two"),
        command(1, 2, "two"),
        command(2, 9, "two"),
        command(3, 4, "one"),
        command(1, 1, "low"),
    ];
    for o in &commands {
        assert!(
            !matches!(old.judge(o, Confirmation::Unconfirmed), Judgement::Final(_)),
            "{}",
            o.base
        );
        // What is said by a copy that is confirmed is what the log comes to.
        match new.judge(o, Confirmation::Confirmed) {
            Judgement::Final(outcome) => assert_eq!(outcome, send(&mut new.clone(), o)),
            judgement => assert_eq!((judgement, o.base), (Judgement::Log, 3)),
        }
    }
}

/// Two operators with three commands each on three bases; every history of six steps in
/// which any of them is sent (again) or the state goes through a snapshot.
#[test]
fn every_history_of_two_operators() {
    const STEPS: usize = 6;
    let all: Vec<ConfigurationCommand> = (0..3)
        .flat_map(|base| ["one", "two"].map(|who| command(base, base + 1, who)))
        .collect();
    let mut histories = 0;
    let mut todo = vec![(ControlState::default(), BTreeMap::<usize, bool>::new(), 0)];
    while let Some((state, told, depth)) = todo.pop() {
        histories += 1;
        if depth == STEPS {
            continue;
        }
        for (i, o) in all.iter().enumerate() {
            let mut next = if depth % 3 == 2 {
                restored(&state)
            } else {
                state.clone()
            };
            let mut told = told.clone();
            let outcome = send(&mut next, o);
            let accepted = match outcome {
                Outcome::Applied => {
                    assert!(!told.contains_key(&i), "carried out twice or after a refusal");
                    true
                }
                Outcome::AlreadyApplied => true,
                Outcome::Conflict(_) => false,
                other => panic!("{other:?}"),
            };
            assert_eq!(
                *told.entry(i).or_insert(accepted),
                accepted,
                "command {i} told both"
            );
            let rival = i ^ 1;
            assert!(!(accepted && told.get(&rival) == Some(&true)), "two on one base");
            todo.push((next, told, depth + 1));
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
fn forwarded_command_counts_once_with_any_leader() {
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
    // Another operator's, and the first one sent again, as the leader takes them.
    assert_eq!(send(&mut state, &tag(2, 2, true), true), Outcome::Applied);
    let repeats = CommandTag {
        repeats: state
            .command_history
            .repeated_by(&tag(3, 3, true))
            .expect("alike"),
        ..tag(3, 3, true)
    };
    assert_eq!(send(&mut state, &repeats, true), Outcome::AlreadyApplied);
    assert_eq!(state.evacuated["z"], 2);
    assert_eq!(send(&mut state, &tag(4, 4, false), false), Outcome::Applied);
    assert_eq!(
        state.command_history.repeated_by(&tag(5, 4, true)),
        None,
        "another came between"
    );
    // Longer ago than is remembered: not carried out, nothing promised.
    for n in 10..10 + 2 * c::TAGGED_REMEMBERED as u64 {
        send(&mut state, &tag(n, n, n % 2 == 0), n % 2 == 0);
    }
    let before = state.evacuated.clone();
    assert_eq!(send(&mut state, &begin, true), Outcome::Undecidable);
    assert_eq!(state.evacuated, before);
    assert_eq!(state.command_history.sizes().tagged, c::TAGGED_REMEMBERED);
}

/// The leader takes a command for a repeat by what it has applied, while another command on
/// the zone already stands behind that in its log.
#[test]
fn repeat_counts_only_while_nothing_has_come_between() {
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
            .expect("alike"),
        ..tag(3, 1, true)
    };
    assert_eq!(send(&mut state, tag(2, 1, false), false), Outcome::Applied);
    assert_eq!(
        send(&mut state, repeats, true),
        Outcome::Applied,
        "confirmed, so in force"
    );
    assert_eq!(state.evacuated.get("z"), Some(&1));
    // In doubt a zone stays empty: a finish that came a moment ago is a repeat, also
    // where a begin has come between.
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
    let repeats = state.command_history.repeated_by(&finish).expect("alike");
    assert_eq!(
        send(&mut state, CommandTag { repeats, ..finish }, false),
        Outcome::AlreadyApplied
    );
    assert_eq!(state.evacuated.get("z"), Some(&1));
}

#[test]
fn pending_command_is_the_one_that_is_repeated() {
    let mut state = ControlState::default();
    let mut first = tag(1, 0, true);
    let command_history = &state.command_history;
    // The first stands in the log and is not applied yet.
    let log = [(1, &first)];
    let repeats = command_history.recent_like(&tag(2, 0, true), log.into_iter(), |_| false);
    assert_eq!(repeats, Some(1));
    // What came between is for the log to see.
    let finish = tag(2, 0, false);
    let log = [(1, &first), (2, &finish)];
    assert_eq!(
        command_history.recent_like(&tag(3, 0, true), log.into_iter(), |_| true),
        Some(1)
    );
    let mut between = state.clone();
    for (index, tag, begin) in [
        (1, tag(1, 0, true), true),
        (2, tag(2, 0, false), false),
        (3, tag(3, 0, true), true),
    ] {
        let repeats = u64::from(index == 3);
        between.apply(
            index,
            &Change::encode_tagged(evacuation(begin), Some(CommandTag { repeats, ..tag })),
        );
    }
    assert_eq!(between.evacuated.get("z"), Some(&1), "the second begin counts");
    for (index, tag) in [(1, tag(1, 0, true)), (2, tag(2, 0, true))] {
        let repeats = if index == 2 { 1 } else { 0 };
        state.apply(
            index,
            &Change::encode_tagged(evacuation(true), Some(CommandTag { repeats, ..tag })),
        );
    }
    assert_eq!(state.evacuated.get("z"), Some(&1), "sent twice, counted once");
    first.number = 9;
    let repeated = |recent: bool| {
        state
            .command_history
            .recent_like(&first, std::iter::empty(), |_| recent)
    };
    assert_eq!((repeated(true), repeated(false)), (Some(1), None));
}

#[test]
fn repeats_of_repeats_count_once() {
    // All sent while the first was under way: each names the one before.
    let mut state = ControlState::default();
    for index in 1..=4 {
        let tag = CommandTag {
            repeats: index - 1,
            ..tag(index, 0, true)
        };
        state.apply(index, &Change::encode_tagged(evacuation(true), Some(tag)));
    }
    assert_eq!(state.evacuated.get("z"), Some(&1));
    // A repeat that changed nothing does not come between.
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

/// Guards against a command that is held up between two nodes and comes after newer ones on its
/// subject (EVAC): it is not ordered behind what its caller may have sent since.
#[test]
fn a_command_that_is_older_than_another_on_its_subject_is_overtaken() {
    let mut state = ControlState::default();
    for (index, begin) in [(1, true), (2, false), (3, true)] {
        let data = Change::encode_tagged(evacuation(begin), Some(tag(index, index - 1, begin)));
        assert_eq!(state.apply(index, &data), Outcome::Applied);
    }
    let is_overtaken = |tag: &CommandTag| state.command_history.is_overtaken(tag, std::iter::empty());
    // The finish that was sent first to a node which passed it on too late.
    let late = tag(9, 1, false);
    assert!(is_overtaken(&late));
    // Its caller still waited when the node had seen the newest one.
    let awaited = CommandTag {
        awaited_at: 3,
        ..late.clone()
    };
    assert!(!is_overtaken(&awaited));
    assert!(!is_overtaken(&tag(9, 3, false)));
    // Sent again to a new leader, it is the newest itself, and known.
    assert!(!is_overtaken(&tag(3, 2, true)));
    // Another subject has an order of its own.
    let elsewhere = CommandTag {
        subject: 7,
        ..late.clone()
    };
    assert!(!is_overtaken(&elsewhere));
    // What waits in the leader's log is newer than all that any node has seen.
    let pending = tag(4, 3, false);
    let history = &state.command_history;
    assert!(history.is_overtaken(&awaited, [(4, &pending)].into_iter()));
    assert!(!history.is_overtaken(&pending, [(4, &pending)].into_iter()));
}

/// Guards against a command that is carried out once more since the answers to it were lost for
/// longer than one is taken for a repetition after the first (EVAC).
#[test]
fn a_command_that_is_sent_again_and_again_is_one() {
    let mut state = ControlState::default();
    let data = Change::encode_tagged(evacuation(true), Some(tag(1, 0, true)));
    state.apply(1, &data);
    let mut recent = RecentCommands::default();
    recent.note(1000, &state.command_history);
    let pause = c::REPEATED_COMMAND_MS - 1;
    for attempt in 1..=5 {
        let now = 1000 + attempt * pause;
        let again = tag(1 + attempt, 1, true);
        let repeated = recent.repeated(now, &state.command_history, &again, std::iter::empty());
        assert_eq!(repeated, Some(1), "attempt {attempt}");
        recent.note_repeated(now, 1);
    }
    let now = 1000 + 6 * pause + 1;
    let later = recent.repeated(now, &state.command_history, &tag(9, 1, true), std::iter::empty());
    assert_eq!(later, None, "one that comes much later is another");
}
