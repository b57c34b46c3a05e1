//! A data directory that an earlier version wrote (commit 7a4bca1) opens with all of its data, and
//! a damaged one is set aside. `tests/data/store` holds its files, compressed, and the encoded
//! state that results from its snapshot and log.

use crate::storage::{OpenedStore, Storage};
use control_state::ControlState;
use flate2::read::GzDecoder;
use raft::{EntryType, Membership};
use std::io::Read;
use std::path::{Path, PathBuf};

const STORE: &[u8] = include_bytes!("../tests/data/store/prompter.redb.gz");
const HIGH_WATER: &[u8] = include_bytes!("../tests/data/store/prompter.mark.gz");
const STATE: &[u8] = include_bytes!("../tests/data/store/state.gz");
/// The node ID of the stored identity.
const NODE: u64 = 0xef72_9571_b6e1_1ff5;

/// A temporary directory that is removed at the end of a test.
struct TempDirectory(PathBuf);

impl Drop for TempDirectory {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

fn decompress(compressed: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    GzDecoder::new(compressed)
        .read_to_end(&mut bytes)
        .expect("gzip data");
    bytes
}

/// Creates the directory as the earlier version left it, with `store` as its store file.
fn directory(store: &[u8]) -> TempDirectory {
    let path = std::env::temp_dir().join(format!("stored-{:x}", rand::random::<u64>()));
    std::fs::create_dir_all(&path).expect("a directory");
    std::fs::write(path.join("prompter.redb"), store).expect("written");
    std::fs::write(path.join("prompter.mark"), decompress(HIGH_WATER)).expect("written");
    TempDirectory(path)
}

fn open(path: &Path) -> OpenedStore {
    let (events, _) = tokio::sync::mpsc::unbounded_channel();
    Storage::open(path.to_str().expect("utf-8"), events).expect("opens")
}

#[test]
fn a_store_of_an_earlier_version_opens_with_all_of_its_data() {
    let directory = directory(&decompress(STORE));
    let opened = open(&directory.0);
    assert_eq!((opened.identity.id, opened.identity.cluster), (NODE, 0xc1));
    assert_eq!((opened.is_empty, opened.damage), (false, None));
    let saved = &opened.saved;
    assert_eq!((saved.hard_state.term, saved.hard_state.vote), (5, 2));
    assert_eq!((saved.snapshot.index, saved.snapshot.term), (8, 4));
    let membership = saved.snapshot.membership.clone().expect("the voters");
    let ids = |membership: &Membership| -> Vec<u64> { membership.voters.iter().map(|v| v.id).collect() };
    assert_eq!((ids(&membership), membership.vacancies.len()), (vec![NODE, 2], 1));
    let indexes: Vec<u64> = saved.entries.iter().map(|e| e.index).collect();
    assert_eq!(indexes, (9..=17).collect::<Vec<u64>>());

    let mut state: ControlState = opened.state;
    assert_eq!((state.index, state.version()), (8, 1));
    for entry in &saved.entries {
        assert_eq!(entry.entry_type, EntryType::Command as i32);
        state.apply(entry.index, &entry.data);
    }
    assert_eq!(
        state.version(),
        20,
        "a replace, a modify, and one logged as a delta"
    );
    assert!(state.evacuated.contains_key("n2") && state.ended_evacuations.contains_key("n1"));
    assert_eq!(state.rollouts.len(), 1);
    assert_eq!(state.key_lease("pages", 1000).map(|h| h.fencing_token), Some(2));
    assert!(state.kill_switch.as_ref().is_some_and(|k| k.on));
    // The only field that was added after the store was written; all others are unchanged.
    let mut image = state.image();
    assert_eq!(std::mem::take(&mut image.highest_fencing_token), 2);
    let encoded = prost::Message::encode_to_vec(&image);
    assert_eq!(encoded, decompress(STATE), "byte for byte");
}

#[test]
fn a_damaged_store_of_an_earlier_version_is_set_aside() {
    let mut store = decompress(STORE);
    let middle = store.len() / 2;
    store.truncate(middle);
    let directory = directory(&store);
    let opened = open(&directory.0);
    assert!(opened.damage.is_some() && !opened.is_empty);
    assert_ne!(opened.identity.id, NODE, "the node must get a new identity");
    assert_eq!(opened.saved, raft::PersistentState::default());
    assert!(directory.0.join("prompter.redb.damaged").exists());
}

#[test]
fn a_missing_store_with_a_high_water_mark_is_reported_as_damage() {
    let directory = directory(&decompress(STORE));
    std::fs::remove_file(directory.0.join("prompter.redb")).expect("removed");
    let opened = open(&directory.0);
    assert!(opened.damage.is_some() && !opened.is_empty);
}
