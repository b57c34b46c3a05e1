//! The data of a snapshot is read whole or not at all.

use control_state::encode_change;
use control_state::Stage;
use protocol::*;

fn stage() -> Stage {
    let body = br#"{"Version":3,"Limits":{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"},"AccessPoints":[],"Groups":[{"Name":"s","Partitioned":true}]}"#;
    let replace = ReplaceOrder {
        body: body.to_vec(),
        ..Default::default()
    };
    let mut stage = Stage::default();
    stage.apply(1, &encode_change(ChangeKind::Replace(replace)));
    for (index, zone) in (2..).zip(["a", "b", "c", "d"]) {
        let evacuate = EvacuationChange {
            zone: zone.into(),
            begin: true,
        };
        stage.apply(index, &encode_change(ChangeKind::Evacuate(evacuate)));
    }
    stage
}

#[test]
fn a_snapshot_cut_short_or_damaged_is_no_state() {
    let stage = stage();
    let data = stage.to_snapshot();
    let whole = Stage::from_snapshot(5, &data).expect("whole");
    assert_eq!(whole.image(), stage.image());
    let packed = data.len() - 4;
    for end in 0..data.len() {
        let read = Stage::from_snapshot(5, &data[..end]);
        // Earlier versions wrote no checksum.
        assert_eq!(read.is_ok(), end == packed, "cut at {end} of {}", data.len());
    }
    for at in 0..data.len() {
        for bit in 0..8 {
            let mut worse = data.clone();
            worse[at] ^= 1 << bit;
            // The last byte that is packed has bits that nobody reads.
            if let Ok(read) = Stage::from_snapshot(5, &worse) {
                assert_eq!(read.image(), stage.image(), "bit {bit} of byte {at}");
            }
        }
    }
}

#[test]
fn only_the_start_of_the_log_is_empty() {
    assert_eq!(Stage::from_snapshot(0, &[]).map(|s| s.version()), Ok(0));
    assert!(Stage::from_snapshot(1, &[]).is_err());
}
