//! Changes applied to the control state, and the image of the state.

use control_state::{ControlState, Outcome, KEY_SPACE};
use prost::Message as _;
use protocol::{Change, ChangeKind, ConfigurationCommand, EvacuationChange, KeyLease, KeyLeaseChange};

fn config(version: u64) -> Vec<u8> {
    format!(
        r#"{{"Version":{version},"Limits":{{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"}},"AccessPoints":[],"Groups":[{{"Name":"s","Partitioned":true}}]}}"#
    )
    .into_bytes()
}

fn replace(state: &mut ControlState, index: u64, base: u64, version: u64) -> Outcome {
    state.apply(
        index,
        &Change::encode(ChangeKind::Replace(ConfigurationCommand {
            base,
            body: config(version),
            ..Default::default()
        })),
    )
}

#[test]
fn one_of_two_commands_on_a_base_wins_and_a_resend_has_the_same_outcome() {
    let mut state = ControlState::default();
    assert_eq!(replace(&mut state, 1, 0, 3), Outcome::Applied);
    assert_eq!(replace(&mut state, 2, 0, 4), Outcome::Conflict(3));
    assert_eq!(replace(&mut state, 3, 0, 3), Outcome::AlreadyApplied);
    assert!(matches!(replace(&mut state, 4, 3, 3), Outcome::Invalid(_)));
    assert_eq!(replace(&mut state, 5, 3, 9), Outcome::Applied);
    assert_eq!(
        replace(&mut state, 4, 9, 12),
        Outcome::AlreadyApplied,
        "an older index has no effect"
    );
    assert_eq!(state.version(), 9);
}

#[test]
fn modify_is_recognized_when_sent_again() {
    let mut state = ControlState::default();
    let add = br#"{"Version":5,"Upsert":{"Groups":[{"Name":"t"}]}}"#;
    assert!(matches!(
        state.resolve_modification(0, b"{}"),
        Err(Outcome::Invalid(_))
    ));
    replace(&mut state, 1, 0, 3);
    let command = state.resolve_modification(3, add).expect("a valid modification");
    assert_eq!(
        state.apply(2, &Change::encode(ChangeKind::Replace(command.clone()))),
        Outcome::Applied
    );
    assert!(state
        .configuration
        .as_ref()
        .is_some_and(|c| c.services.contains_key("t")));
    let state = ControlState::from_image(state.image()).expect("readable");
    assert_eq!(
        state.resolve_modification(3, add),
        Err(Outcome::AlreadyApplied),
        "a restored copy recognizes the modification"
    );
    let other = br#"{"Version":5,"Upsert":{"Groups":[{"Name":"u"}]}}"#;
    assert_eq!(state.resolve_modification(3, other), Err(Outcome::Conflict(5)));
    let version_too_low = state
        .resolve_modification(5, br#"{"Version":5}"#)
        .expect("readable");
    assert!(matches!(
        state.check_replace(&version_too_low),
        Err(Outcome::Invalid(_))
    ));
}

#[test]
fn zone_stays_evacuated_until_every_evacuation_has_ended() {
    let mut state = ControlState::default();
    for (i, begin) in [(1, true), (2, true), (3, false)] {
        state.apply(
            i,
            &Change::encode(ChangeKind::Evacuate(EvacuationChange {
                zone: "z".into(),
                begin,
            })),
        );
    }
    let mut state = ControlState::from_image(state.image()).expect("readable");
    assert!(state.evacuated.contains_key("z"));
    let last = EvacuationChange {
        zone: "z".into(),
        begin: false,
    };
    assert_eq!(
        state.apply(4, &Change::encode(ChangeKind::Evacuate(last.clone()))),
        Outcome::Applied
    );
    assert!(state.evacuated.is_empty());
    assert_eq!(
        state.apply(5, &Change::encode(ChangeKind::Evacuate(last))),
        Outcome::AlreadyApplied
    );
}

#[test]
fn image_holds_the_complete_state_and_new_leases_cut_older_ones() {
    let mut state = ControlState::default();
    replace(&mut state, 1, 0, 3);
    let lease = |from, to, worker: &str, fencing_token| KeyLease {
        service: "s".into(),
        from,
        to,
        worker: worker.into(),
        fencing_token,
        ..Default::default()
    };
    let put = vec![lease(0, KEY_SPACE - 1, "a", 1), lease(100, 199, "b", 2)];
    state.apply(2, &Change::encode(ChangeKind::KeyLeases(KeyLeaseChange { put })));
    state.apply(
        3,
        &Change::encode(ChangeKind::Evacuate(EvacuationChange {
            zone: "z".into(),
            begin: true,
        })),
    );
    assert_eq!(state.key_lease("s", 99).map(|h| h.worker.as_str()), Some("a"));
    assert_eq!(state.key_lease("s", 150).map(|h| h.worker.as_str()), Some("b"));
    assert_eq!(
        state.key_lease("s", 200).map(|h| (h.from, h.to)),
        Some((200, KEY_SPACE - 1))
    );
    let restored = ControlState::from_image(state.image()).expect("readable");
    assert_eq!(restored.image(), state.image());
    assert_eq!(restored.highest_fencing_token(), 2);
    for data in [state.to_snapshot(), state.image().encode_to_vec()] {
        let read = ControlState::from_snapshot(3, &data).expect("complete data");
        assert_eq!(read.image(), state.image());
    }
    assert!(
        ControlState::from_snapshot(9, &[0, 77]).is_err(),
        "unreadable data was accepted"
    );
}

/// Guards against fencing tokens that decrease and leases that are removed while they are held,
/// when a configuration stops partitioning their service (OWNER; review case 1).
#[test]
fn held_leases_and_the_highest_token_outlast_the_partitioning_of_a_service() {
    let mut state = ControlState::default();
    let configure = |state: &mut ControlState, groups: &str| {
        let version = state.version();
        let body = format!(
            r#"{{"Version":{},"Limits":{{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"}},"AccessPoints":[],"Groups":[{groups}]}}"#,
            version + 1
        );
        let command = ConfigurationCommand {
            base: version,
            body: body.into(),
            ..Default::default()
        };
        let index = state.index + 1;
        assert_eq!(
            state.apply(index, &Change::encode(ChangeKind::Replace(command))),
            Outcome::Applied
        );
    };
    let put = |state: &mut ControlState, worker: &str, fencing_token| {
        let lease = KeyLease {
            service: "s".into(),
            to: KEY_SPACE - 1,
            worker: worker.into(),
            fencing_token,
            ..Default::default()
        };
        let index = state.index + 1;
        let change = ChangeKind::KeyLeases(KeyLeaseChange { put: vec![lease] });
        state.apply(index, &Change::encode(change));
    };
    configure(&mut state, r#"{"Name":"s","Partitioned":true}"#);
    put(&mut state, "a", 7);
    configure(&mut state, r#"{"Name":"s"}"#);
    assert!(
        state.key_lease("s", 0).is_some_and(|l| l.worker == "a"),
        "a held lease was removed"
    );
    put(&mut state, "", 7);
    assert!(state.key_leases.is_empty(), "leases without a holder were kept");
    let image = state.image();
    let read = ControlState::from_image(image.clone()).expect("readable");
    assert_eq!(
        (state.highest_fencing_token(), read.highest_fencing_token()),
        (7, 7)
    );
    // An image of an earlier version holds only the tokens of its leases.
    put(&mut state, "b", 8);
    let older = protocol::ControlStateImage {
        highest_fencing_token: 0,
        ..state.image()
    };
    let read = ControlState::from_image(older).expect("readable");
    assert_eq!(read.highest_fencing_token(), 8);
}
