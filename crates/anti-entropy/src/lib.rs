//! Anti-entropy: a copy of the control state is compared with another by digests over ranges of
//! its rows, and ranges that differ are repaired from the newer copy.
//!
//! A node sends [`digests`] of its copy; a peer whose copy is not older answers with
//! [`repair_for`] them; the node applies the answer with [`repaired_since`].

use control_state::ControlState;
use prost::Message;
use protocol::{ControlStateImage, RangeDigests, Repair};

/// Range of the configuration and the history of commands.
const CONFIGURATION: usize = 0;
/// Range of the evacuations.
const EVACUATIONS: usize = 1;
/// Range of the placement.
const PLACEMENT: usize = 2;
/// Range of the retry allowances and of all that is small.
const SMALL_TABLES: usize = 3;
/// Ranges that hold whole tables.
const TABLE_RANGES: usize = 4;
/// Ranges over which the workers are spread, and the same for the key leases.
const SPREAD_RANGES: usize = 6;
/// All ranges of a copy.
pub const RANGES: usize = TABLE_RANGES + 2 * SPREAD_RANGES;

/// Initial value of the hash (that of FNV-1a).
const HASH_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Multiplier of the hash (that of FNV-1a).
const HASH_PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a with a last mixing. Nodes compare its values, so that it never changes.
fn hash(mut hash: u64, bytes: &[u8]) -> u64 {
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(HASH_PRIME);
    }
    hash ^ (hash >> 29)
}

fn range_of_worker(id: &str) -> usize {
    TABLE_RANGES + (hash(HASH_BASIS, id.as_bytes()) % SPREAD_RANGES as u64) as usize
}

fn range_of_key_lease(service: &str, from: u32) -> usize {
    let hash = hash(hash(HASH_BASIS, service.as_bytes()), &from.to_le_bytes());
    TABLE_RANGES + SPREAD_RANGES + (hash % SPREAD_RANGES as u64) as usize
}

/// Copies the tables whose ranges are wanted.
fn copy_tables(from: &ControlStateImage, to: &mut ControlStateImage, wanted: &impl Fn(usize) -> bool) {
    if wanted(CONFIGURATION) {
        to.version = from.version;
        to.command_history = from.command_history.clone();
        to.configuration = from.configuration.clone();
    }
    if wanted(EVACUATIONS) {
        to.evacuated = from.evacuated.clone();
        to.ended_evacuations = from.ended_evacuations.clone();
    }
    if wanted(PLACEMENT) {
        to.fractions = from.fractions.clone();
    }
    if wanted(SMALL_TABLES) {
        to.retry_allowances = from.retry_allowances.clone();
        to.retry_slack = from.retry_slack;
        to.ejected = from.ejected.clone();
        to.warmup_groups = from.warmup_groups.clone();
        to.rollouts = from.rollouts.clone();
        to.kill_switch = from.kill_switch.clone();
        to.highest_fencing_token = from.highest_fencing_token;
    }
}

/// The rows of the given ranges of an image.
fn select_ranges(image: &ControlStateImage, wanted: impl Fn(usize) -> bool) -> ControlStateImage {
    let mut part = ControlStateImage {
        index: image.index,
        ..Default::default()
    };
    copy_tables(image, &mut part, &wanted);
    let workers = image.workers.iter();
    let workers = workers.filter(|worker| wanted(range_of_worker(&worker.id)));
    part.workers = workers.cloned().collect();
    let key_leases = image.key_leases.iter();
    let key_leases = key_leases.filter(|lease| wanted(range_of_key_lease(&lease.service, lease.from)));
    part.key_leases = key_leases.cloned().collect();
    part
}

/// The digests of a copy.
pub fn digests(state: &ControlState) -> RangeDigests {
    let image = state.image();
    let ranges = (0..RANGES)
        .map(|range| {
            let mut part = select_ranges(&image, |r| r == range);
            part.index = 0;
            hash(HASH_BASIS, &part.encode_to_vec())
        })
        .collect();
    RangeDigests {
        index: image.index,
        ranges,
        ..Default::default()
    }
}

/// What a peer that sent its digests lacks of this copy; `None` if this copy is
/// not the newer one or nothing differs.
pub fn repair_for(state: &ControlState, theirs: &RangeDigests) -> Option<Repair> {
    if state.index < theirs.index {
        return None;
    }
    let ours = digests(state);
    let ranges: Vec<u32> = (0..RANGES)
        .filter(|range| theirs.ranges.get(*range) != ours.ranges.get(*range))
        .map(|range| range as u32)
        .collect();
    if ranges.is_empty() && state.index == theirs.index {
        return None;
    }
    let image = select_ranges(&state.image(), |range| ranges.contains(&(range as u32)));
    Some(Repair {
        index: state.index,
        ranges,
        image: Some(image),
        incarnation: theirs.incarnation,
        number: theirs.number,
    })
}

/// The copy with the ranges of a repair put in place of its own; `None` if the
/// repair is older or cannot be read.
pub fn repaired(state: &ControlState, repair: &Repair) -> Option<ControlState> {
    let newer = repair.image.as_ref()?;
    if repair.index < state.index {
        return None;
    }
    let is_repaired = |range: usize| repair.ranges.contains(&(range as u32));
    let mut image = select_ranges(&state.image(), |range| !is_repaired(range));
    image.index = repair.index;
    copy_tables(newer, &mut image, &is_repaired);
    // A peer of an earlier version does not tell it.
    image.highest_fencing_token = image.highest_fencing_token.max(state.highest_fencing_token());
    image.workers.extend(newer.workers.iter().cloned());
    image.key_leases.extend(newer.key_leases.iter().cloned());
    ControlState::from_image(image).ok()
}

/// The same, of a repair that answers digests which this node has sent: `None` also
/// if the copy has changed since. What a repair leaves out is equal to the copy
/// that was asked about, and to no other.
pub fn repaired_since(state: &ControlState, asked: &RangeDigests, repair: &Repair) -> Option<ControlState> {
    let is_unchanged = digests(state) == *asked;
    is_unchanged.then(|| repaired(state, repair))?
}
