//! Only ranges that differ are sent, and only the newer copy repairs the older one.

use anti_entropy::{apply_repair, digests, repair_for};
use control_state::ControlState;
use protocol::{Change, ChangeKind, EvacuationChange, Worker, WorkersChange};

fn add(state: &mut ControlState, index: u64, id: &str) {
    let put = vec![Worker {
        id: id.into(),
        ..Default::default()
    }];
    state.apply(
        index,
        &Change::encode(ChangeKind::Workers(WorkersChange {
            put,
            ..Default::default()
        })),
    );
}

#[test]
fn only_differing_ranges_are_sent_and_the_copies_become_equal() {
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
    let repair = repair_for(&newer, &digests(&older)).expect("the copies differ");
    assert!(repair.ranges.len() <= 3, "{:?}", repair.ranges);
    older = apply_repair(&older, &repair).expect("readable");
    assert_eq!(older.image(), newer.image());
    assert!(repair_for(&newer, &digests(&older)).is_none());
}

#[test]
fn newer_copy_is_never_repaired_from_an_older_one() {
    let mut older = ControlState::default();
    add(&mut older, 1, "a");
    let mut newer = older.clone();
    add(&mut newer, 2, "b");
    assert!(repair_for(&older, &digests(&newer)).is_none());
    let stale_repair = repair_for(&older, &digests(&ControlState::default())).expect("the copies differ");
    assert!(apply_repair(&newer, &stale_repair).is_none());
}
