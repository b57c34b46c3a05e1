//! Guards against a repair being applied to a copy that has changed since the digests were sent.
//! The ranges that a repair omits are known only to equal the copy that was asked about; on another
//! copy the result is a state that never existed.

use anti_entropy::{apply_repair, apply_repair_if_unchanged, digests, repair_for};
use control_state::ControlState;
use protocol::{Change, ChangeKind, EvacuationChange};

fn evacuate(state: &ControlState, begin: bool) -> ControlState {
    let zone = "z".to_string();
    let mut next = state.clone();
    let change = ChangeKind::Evacuate(EvacuationChange { zone, begin });
    next.apply(state.index + 1, &Change::encode(change));
    next
}

#[test]
fn second_repair_for_the_same_digests_is_applied_only_to_an_unchanged_copy() {
    // The zone is evacuated for a moment, as it was twice before.
    let mut before = ControlState::default();
    for begin in [true, true, false] {
        before = evacuate(&before, begin);
    }
    let during = evacuate(&before, true);
    let after = evacuate(&during, false);
    // Two peers are sent the digests at once; one answers late, from a newer copy.
    let sent_digests = digests(&before);
    let first = repair_for(&during, &sent_digests).expect("the copy is newer");
    let second = repair_for(&after, &sent_digests).expect("the copy is newer");
    let own_copy = apply_repair_if_unchanged(&before, &sent_digests, &first).expect("the copy is unchanged");
    assert_eq!(own_copy.image(), during.image());
    let mixed = apply_repair(&own_copy, &second).expect("the repair is applied");
    assert_ne!(
        mixed.image(),
        after.image(),
        "the mixed state never existed on the peer"
    );
    assert!(apply_repair_if_unchanged(&own_copy, &sent_digests, &second).is_none());
    let sent_digests = digests(&own_copy);
    let third = repair_for(&after, &sent_digests).expect("the copy is newer");
    let own_copy =
        apply_repair_if_unchanged(&own_copy, &sent_digests, &third).expect("the copy is unchanged");
    assert_eq!(own_copy.image(), after.image());
}
