//! What differs between two copies is sent, and only the newer one gives.

use anti_entropy::{digests, repair_for, repaired};
use control_state::ControlState;
use protocol::{Change, ChangeKind, EvacuationChange, Worker, WorkersChange};

fn add(stage: &mut ControlState, index: u64, id: &str) {
    let put = vec![Worker {
        id: id.into(),
        ..Default::default()
    }];
    stage.apply(
        index,
        &Change::encode(ChangeKind::Workers(WorkersChange {
            put,
            ..Default::default()
        })),
    );
}

#[test]
fn only_what_differs_is_sent_and_the_copies_end_equal() {
    let mut newer = ControlState::default();
    for i in 1..=40 {
        add(&mut newer, i, &format!("w{i}"));
    }
    let mut older = newer.clone();
    add(&mut newer, 41, "late");
    newer.apply(
        42,
        &Change::encode(ChangeKind::Workers(WorkersChange {
            put: vec![],
            removed: vec!["w3".into()],
            ..Default::default()
        })),
    );
    newer.apply(
        43,
        &Change::encode(ChangeKind::Evacuate(EvacuationChange {
            zone: "z".into(),
            begin: true,
        })),
    );
    let mend = repair_for(&newer, &digests(&older)).expect("they differ");
    assert!(mend.ranges.len() <= 3, "{:?}", mend.ranges);
    older = repaired(&older, &mend).expect("readable");
    assert_eq!(older.image(), newer.image());
    assert!(repair_for(&newer, &digests(&older)).is_none());
}

#[test]
fn the_newer_copy_is_never_mended_from_the_older() {
    let mut old = ControlState::default();
    add(&mut old, 1, "a");
    let mut new = old.clone();
    add(&mut new, 2, "b");
    assert!(repair_for(&old, &digests(&new)).is_none());
    let stale = repair_for(&old, &digests(&ControlState::default())).expect("differs");
    assert!(repaired(&new, &stale).is_none());
}
