//! Settings files, as the platform writes them.

use crate::net::Net;
use std::fmt::Write as _;
use std::net::SocketAddrV4;
use std::path::Path;

/// Regions of the fleet. Zones are spread over the regions.
const REGIONS: [&str; 3] = ["north", "south", "east"];
/// Largest number of machines in a fleet.
pub const MAX_MACHINES: u8 = 100;
/// Zones in the settings. Zones without a machine are used only in commands.
pub const ZONES: u8 = 100;

/// The settings that differ between machines.
pub struct Machine<'a> {
    /// The machine's number, from 1. It determines the machine's name and address.
    pub number: u8,
    /// Whether the whole system starts for the first time.
    pub is_initial_start: bool,
    /// The folder of the machine's disk, if it has one.
    pub disk: Option<&'a Path>,
    /// Number of regions whose loss is to be tolerated.
    pub tolerated_regions: u8,
    /// Number of the machine's zone.
    pub zone: u8,
}

/// Returns the name of a machine.
pub fn name(number: u8) -> String {
    format!("edge-{}-1", zone(number))
}

/// Returns the name of a zone. Unless zones are shared, it is the zone of the machine with this
/// number.
pub fn zone(number: u8) -> String {
    format!("{}-{}", region(number), number)
}

/// Returns the region of a zone.
pub fn region(number: u8) -> &'static str {
    REGIONS[usize::from(number) % REGIONS.len()]
}

/// Renders the settings file (TOML) of a machine.
pub fn render(net: &Net, seeds: &[SocketAddrV4], machine: &Machine<'_>) -> String {
    let n = machine.number;
    let [first, last] = net.internal_ports();
    let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
    let mut text = format!(
        r#"Grants = "invocation"
[OwnEntity]
NodeName = "{name}"
Role = "pebblepond"
MachineClass = "edge"
Serves = ["edge", "control", "directory"]
IpAddress = "{ip}"
Zone = "{zone}"
Region = "{region}"
LossCounted = {counted}
InitialStart = {is_initial_start}
"#,
        name = name(n),
        ip = net.ip(n),
        zone = zone(machine.zone),
        region = region(machine.zone),
        counted = machine.disk.is_some(),
        is_initial_start = machine.is_initial_start,
    );
    if let Some(folder) = machine.disk {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "DataDirectory = {:?}", folder.display().to_string());
    }
    let _ = write!(
        text,
        r#"[OwnEntity.Limits]
CpuFraction = 1.0
CoreCount = 1
MemoryMb = 260
FileDescriptors = 4100
LinkRateMbps = 1000.0
DiskMb = 64
[Network]
InternalPorts = [{first}, {last}]
SeedNodes = [{seeds}]
[Network.ListenPoints]
Front = "{front}"
Readiness = "{readiness}"
Control = "{control}"
Directory = "{directory}"
[Network.Zones]
"#,
        seeds = seeds.join(", "),
        front = net.front(n),
        readiness = net.readiness(n),
        control = net.control(n),
        directory = net.directory(n),
    );
    for number in 1..=ZONES {
        let _ = writeln!(text, "{} = \"{}\"", zone(number), region(number));
    }
    text + &shared_settings(net, machine.tolerated_regions)
}

/// Renders the settings that are the same on every machine of a fleet.
fn shared_settings(net: &Net, tolerated_regions: u8) -> String {
    format!(
        r#"[Platform]
Discovery = "platform"
Entry = "directory"
BeatInterval = "1500ms"
[Platform.CloudApi]
Address = "{platform}"
RatePerS = 45.0
Duties = []
Lag = "100ms"
[Terms]
Contracts = ["base", "drain", "config", "retry", "recover", "places", "own"]
[Terms.Tolerance]
Machines = 1
Zones = 1
Regions = {tolerated_regions}
[Terms.Bounds]
SeedLag = "3s"
Contact = "4000ms"
Acknowledge = "6000ms"
CatchUp = "4s"
Drain = "2500ms"
GracePeriod = "6s"
ConfigApply = "2000ms"
RevertSlack = "250ms"
StretchMax = "8000ms"
Evacuation = "5000ms"
Recovery = "15s"
HoldLimit = "10000ms"
Thaw = "300ms"
ttl_max = "5s"
"#,
        platform = net.platform(),
    )
}
