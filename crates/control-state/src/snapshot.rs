//! Serialization of the control state: the image, and its compressed form in snapshots.

use crate::command_history::CommandHistory;
use crate::error::SnapshotError;
use crate::state::ControlState;
use config::Configuration;
use flate2::write::DeflateEncoder;
use flate2::{Compression, Crc, Decompress, FlushDecompress, Status};
use prost::Message as _;
use protocol::{ControlStateImage, EndedEvacuation, KeyLease, WarmupGroup};
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Arc;

/// Largest size of an unpacked image, in bytes: far more than a thousand workers take.
const MAX_IMAGE_BYTES: usize = 64 * 1024 * 1024;
/// Size of one decompression step, in bytes.
const UNPACK_STEP_BYTES: usize = 64 * 1024;

/// First byte of a packed image. No unpacked image begins with it.
const PACKED_MARKER: u8 = 0;

impl ControlState {
    /// Returns the complete state as an image.
    pub fn image(&self) -> ControlStateImage {
        let evacuated = self.evacuated.iter();
        let ended_evacuations = self.ended_evacuations.iter();
        let groups = self.warmup_groups.iter();
        let leases = self.key_leases.values().flat_map(|t| t.values());
        ControlStateImage {
            index: self.index,
            version: self.version(),
            configuration: self.configuration_body.to_vec(),
            // The command history holds these now.
            base: 0,
            modification: Vec::new(),
            command_history: Some(self.command_history.image()),
            ejected: self.ejected.iter().cloned().collect(),
            rollouts: self.rollouts.values().map(|r| (**r).clone()).collect(),
            kill_switch: self.kill_switch.clone(),
            evacuated: evacuated
                .flat_map(|(zone, count)| vec![zone.clone(); *count as usize])
                .collect(),
            workers: self.workers.values().map(|w| (**w).clone()).collect(),
            warmup_groups: groups
                .map(|(number, nodes)| WarmupGroup {
                    number: *number,
                    nodes: nodes.iter().copied().collect(),
                })
                .collect(),
            key_leases: leases.map(|l| (**l).clone()).collect(),
            highest_fencing_token: self.highest_fencing_token,
            fractions: self.fractions.to_vec(),
            retry_allowances: self.retry_allowances.iter().copied().collect(),
            retry_slack: self.retry_slack,
            ended_evacuations: ended_evacuations
                .map(|(zone, index)| EndedEvacuation {
                    zone: zone.clone(),
                    index: *index,
                })
                .collect(),
        }
    }

    /// Builds the state from an image.
    pub fn from_image(image: ControlStateImage) -> Result<ControlState, SnapshotError> {
        let configuration = if image.version == 0 {
            None
        } else {
            let parsed = Configuration::parse(&image.configuration);
            Some(Arc::new(parsed.map_err(SnapshotError::Configuration)?))
        };
        let command_history = match image.command_history {
            Some(history) => CommandHistory::from_image(history),
            None => CommandHistory::with_single_command(
                image.base,
                &image.configuration,
                &image.modification,
                image.version,
            ),
        };
        let tokens = image.key_leases.iter().map(|lease| lease.fencing_token);
        let highest_fencing_token = tokens.fold(image.highest_fencing_token, u64::max);
        let mut evacuated = BTreeMap::new();
        for zone in image.evacuated {
            *evacuated.entry(zone).or_default() += 1;
        }
        let ended_evacuations = image.ended_evacuations.into_iter();
        let workers = image.workers.into_iter();
        let groups = image.warmup_groups.into_iter();
        let rollouts = image.rollouts.into_iter();
        Ok(ControlState {
            index: image.index,
            configuration,
            configuration_body: Arc::new(image.configuration),
            command_history: Arc::new(command_history),
            evacuated,
            ended_evacuations: ended_evacuations.map(|e| (e.zone, e.index)).collect(),
            workers: Arc::new(workers.map(|w| (w.id.clone(), Arc::new(w))).collect()),
            warmup_groups: Arc::new(
                groups
                    .map(|g| (g.number, Arc::new(g.nodes.into_iter().collect())))
                    .collect(),
            ),
            key_leases: lease_tables(image.key_leases),
            highest_fencing_token,
            ejected: Arc::new(image.ejected.into_iter().collect()),
            fractions: Arc::new(image.fractions),
            rollouts: Arc::new(rollouts.map(|r| (r.service.clone(), Arc::new(r))).collect()),
            kill_switch: image.kill_switch,
            retry_allowances: Arc::new(image.retry_allowances.into_iter().collect()),
            retry_slack: image.retry_slack,
        })
    }

    /// Returns the data of a snapshot. The image is compressed because hundreds of nodes receive
    /// it over slow links when all of them restart.
    pub fn to_snapshot(&self) -> Vec<u8> {
        let image = self.image().encode_to_vec();
        let mut packer = DeflateEncoder::new(vec![PACKED_MARKER], Compression::fast());
        let mut data = packer
            .write_all(&image)
            .and_then(|()| packer.finish())
            .expect("writing to a Vec cannot fail");
        data.extend(checksum(&image));
        data
    }

    /// Reads the state from the data of a snapshot at the log index `index`. Empty data is valid
    /// only at index 0, before the first entry. Any other data that cannot be read completely is
    /// an error and never yields a state.
    pub fn from_snapshot(index: u64, data: &[u8]) -> Result<ControlState, SnapshotError> {
        let image = match data.split_first() {
            None if index == 0 => return Ok(ControlState::default()),
            None => return Err(SnapshotError::Empty),
            Some((&PACKED_MARKER, packed)) => unpack(packed)?,
            // Stores of earlier versions hold the image uncompressed.
            _ => data.to_vec(),
        };
        let image = ControlStateImage::decode(image.as_slice())?;
        let mut state = ControlState::from_image(image)?;
        state.index = state.index.max(index);
        Ok(state)
    }

    /// Returns whether the data of a snapshot at the log index `index` can be read.
    pub fn is_snapshot_readable(index: u64, data: &[u8]) -> bool {
        ControlState::from_snapshot(index, data).is_ok()
    }
}

fn lease_tables(leases: Vec<KeyLease>) -> BTreeMap<String, Arc<BTreeMap<u32, Arc<KeyLease>>>> {
    let mut tables: BTreeMap<String, BTreeMap<u32, Arc<KeyLease>>> = BTreeMap::new();
    for lease in leases {
        let table = tables.entry(lease.service.clone()).or_default();
        table.insert(lease.from, Arc::new(lease));
    }
    let tables = tables.into_iter();
    tables
        .map(|(service, table)| (service, Arc::new(table)))
        .collect()
}

/// Returns the CRC-32 of an image, which follows the packed image in a snapshot. Earlier versions
/// write no checksum and read only the packed image.
fn checksum(image: &[u8]) -> [u8; 4] {
    let mut crc = Crc::new();
    crc.update(image);
    crc.sum().to_le_bytes()
}

/// Unpacks an image and verifies its checksum, if there is one.
fn unpack(packed: &[u8]) -> Result<Vec<u8>, SnapshotError> {
    let bytes = packed.len();
    let mut unpacker = Decompress::new(false);
    let mut image = Vec::new();
    loop {
        if image.len() >= MAX_IMAGE_BYTES {
            return Err(SnapshotError::TooLarge { bytes });
        }
        image.reserve(UNPACK_STEP_BYTES);
        let before = (unpacker.total_in(), unpacker.total_out());
        let rest = &packed[unpacker.total_in() as usize..];
        let status = unpacker.decompress_vec(rest, &mut image, FlushDecompress::None);
        match status.map_err(|e| SnapshotError::Unpack(e.to_string()))? {
            Status::StreamEnd => break,
            _ if (unpacker.total_in(), unpacker.total_out()) == before => {
                return Err(SnapshotError::Truncated { bytes });
            }
            _ => {}
        }
    }
    let rest = &packed[unpacker.total_in() as usize..];
    if rest.is_empty() || *rest == checksum(&image) {
        Ok(image)
    } else {
        Err(SnapshotError::Checksum { bytes })
    }
}
