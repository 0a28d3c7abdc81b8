use std::{net::SocketAddr, path::Path};

use base::{Millis, Name};
use ini::Ini;
use snafu::ResultExt;

use crate::{
    Error, Fault,
    error::{FaultsSnafu, ParseSnafu, ReadSnafu},
    settings::IniReader,
};

/// Settings of an entry VM that runs on a customer's platform.
#[derive(Debug, Clone, PartialEq)]
pub struct PlatformSettings {
    /// Name of this VM.
    pub vm: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its region.
    pub region: Name,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address that answers the health checks of the load balancer.
    pub health: SocketAddr,
    /// Address that other entry VMs connect to.
    pub peers: SocketAddr,
    /// Address announced to other entry VMs if it differs from `peers`.
    pub announce: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the policy service; `None` if the platform has none.
    pub advice: Option<SocketAddr>,
    /// Largest append that the store accepts, in bytes. A larger batch is split.
    pub max_call_bytes: usize,
    /// CPU capacity of this VM, in thousandths of a core.
    pub cpu_capacity: u32,
    /// Number of workers up to which the leader exchanges messages with them itself, without
    /// relays.
    pub direct_workers: usize,
    /// Limits set by the platform.
    pub limits: Limits,
}

/// Limits set by the platform; times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Upper bound on the lease of a task on a worker.
    pub max_lease: Millis,
    /// Factor by which a task takes longer outside its rack.
    pub remote_factor: f64,
    /// Time that a resumed task needs to load its checkpoint.
    pub restore_time: Millis,
    /// Time for which a service task may miss its latency target beside best-effort tasks.
    pub max_interference: Millis,
    /// Time between SIGTERM and SIGKILL.
    pub grace_period: Millis,
}

const ENTRY_KEYS: &[&str] = &["vm", "domain", "region", "callers", "health", "peers", "announce"];
const PLATFORM_KEYS: &[&str] = &["store", "advice", "max-call-bytes"];
const VM_KEYS: &[&str] = &["share", "cores"];
const RELAY_KEYS: &[&str] = &["direct-workers"];
const BOUND_KEYS: &[&str] = &["hold-ms", "remote", "restore-ms", "impact-ms", "grace-s"];

/// Default of [`PlatformSettings::max_call_bytes`].
const DEFAULT_MAX_CALL_BYTES: usize = 2_097_152;
/// Default of [`PlatformSettings::direct_workers`].
const DEFAULT_DIRECT_WORKERS: usize = 500;

impl PlatformSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// [`Error::Read`], [`Error::Parse`], or [`Error::Faults`] with every fault.
    pub fn open(path: &Path) -> Result<PlatformSettings, Error> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).context(ReadSnafu { path: name.as_str() })?;
        PlatformSettings::parse(&name, &text)
    }

    /// Parses and checks the text of a settings file; `path` appears in errors only.
    ///
    /// # Errors
    /// [`Error::Parse`], or [`Error::Faults`] with every fault.
    pub fn parse(path: &str, text: &str) -> Result<PlatformSettings, Error> {
        let ini = Ini::load_from_str(text)
            .map_err(|e| ParseSnafu { path, reason: e.to_string() }.build())?;
        let mut reader = IniReader { ini: &ini, faults: Vec::new() };
        let settings = read(&mut reader);
        if reader.faults.is_empty() {
            return Ok(settings);
        }
        FaultsSnafu { path, faults: reader.faults }.fail()
    }
}

fn read(reader: &mut IniReader<'_>) -> PlatformSettings {
    reader.check_keys(&[
        ("entry", ENTRY_KEYS),
        ("platform", PLATFORM_KEYS),
        ("vm", VM_KEYS),
        ("relays", RELAY_KEYS),
        ("bounds", BOUND_KEYS),
    ]);
    let cores =
        positive_number(reader, "vm", "share", 1.0) * positive_number(reader, "vm", "cores", 1.0);
    PlatformSettings {
        vm: reader.name("entry", "vm"),
        domain: reader.name("entry", "domain"),
        region: reader.name("entry", "region"),
        callers: reader.address("entry", "callers"),
        health: reader.address("entry", "health"),
        peers: reader.address("entry", "peers"),
        announce: optional_address(reader, "entry", "announce"),
        store: reader.address("platform", "store"),
        advice: optional_address(reader, "platform", "advice"),
        max_call_bytes: whole_number(reader, "platform", "max-call-bytes", DEFAULT_MAX_CALL_BYTES),
        cpu_capacity: (cores * 1000.0) as u32,
        direct_workers: whole_number(reader, "relays", "direct-workers", DEFAULT_DIRECT_WORKERS),
        limits: Limits {
            max_lease: positive_number(reader, "bounds", "hold-ms", 10_000.0) as Millis,
            remote_factor: positive_number(reader, "bounds", "remote", 2.0),
            restore_time: positive_number(reader, "bounds", "restore-ms", 600.0) as Millis,
            max_interference: positive_number(reader, "bounds", "impact-ms", 4_000.0) as Millis,
            grace_period: (1000.0 * positive_number(reader, "bounds", "grace-s", 6.0)) as Millis,
        },
    }
}

/// Reads an address that may be missing or empty.
fn optional_address(reader: &mut IniReader<'_>, section: &str, key: &str) -> Option<SocketAddr> {
    reader.text(section, key).filter(|text| !text.is_empty())?;
    Some(reader.address(section, key))
}

/// Reads a number above zero; a missing or empty key takes the default.
fn positive_number(reader: &mut IniReader<'_>, section: &str, key: &str, default: f64) -> f64 {
    let text = reader.text(section, key).filter(|text| !text.is_empty());
    let Some(text) = text else { return default };
    match text.parse::<f64>() {
        Ok(number) if number.is_finite() && number > 0.0 => number,
        _ => {
            let problem = format!("not a positive number: {text:?}");
            reader.faults.push(Fault::new(section, key, problem, "write a number like 1.5"));
            default
        }
    }
}

/// Reads a whole number; a missing or empty key takes the default.
fn whole_number(reader: &mut IniReader<'_>, section: &str, key: &str, default: usize) -> usize {
    let text = reader.text(section, key).filter(|text| !text.is_empty());
    let Some(text) = text else { return default };
    text.parse().unwrap_or_else(|_| {
        let problem = format!("not a whole number: {text:?}");
        reader.faults.push(Fault::new(section, key, problem, "write a number like 500"));
        default
    })
}
