//! The data of a snapshot is read completely or not at all.

use control_state::ControlState;
use protocol::*;

fn state() -> ControlState {
    let body = br#"{"Version":3,"Limits":{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"},"AccessPoints":[],"Groups":[{"Name":"s","Partitioned":true}]}"#;
    let replace = ConfigurationCommand {
        body: body.to_vec(),
        ..Default::default()
    };
    let mut state = ControlState::default();
    state.apply(1, &Change::encode(ChangeKind::Replace(replace)));
    for (index, zone) in (2..).zip(["a", "b", "c", "d"]) {
        let evacuate = EvacuationChange {
            zone: zone.into(),
            begin: true,
        };
        state.apply(index, &Change::encode(ChangeKind::Evacuate(evacuate)));
    }
    state
}

#[test]
fn truncated_or_damaged_snapshot_is_rejected() {
    let state = state();
    let data = state.to_snapshot();
    let complete = ControlState::from_snapshot(5, &data).expect("complete data");
    assert_eq!(complete.image(), state.image());
    let length_without_checksum = data.len() - 4;
    for end in 0..data.len() {
        let read = ControlState::from_snapshot(5, &data[..end]);
        // Data without a checksum is valid, because earlier versions wrote none.
        assert_eq!(
            read.is_ok(),
            end == length_without_checksum,
            "truncated to {end} of {} bytes",
            data.len()
        );
    }
    for at in 0..data.len() {
        for bit in 0..8 {
            let mut damaged = data.clone();
            damaged[at] ^= 1 << bit;
            // The last byte of the compressed image has unused bits.
            if let Ok(read) = ControlState::from_snapshot(5, &damaged) {
                assert_eq!(read.image(), state.image(), "flipped bit {bit} of byte {at}");
            }
        }
    }
}

#[test]
fn empty_snapshot_is_valid_only_at_the_start_of_the_log() {
    assert_eq!(ControlState::from_snapshot(0, &[]).map(|s| s.version()), Ok(0));
    assert!(ControlState::from_snapshot(1, &[]).is_err());
}
