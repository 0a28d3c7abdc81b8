use std::{net::SocketAddr, path::Path};

use base::{Millis, Name};
use ini::Ini;
use snafu::ResultExt;

use crate::{
    Error, Fault,
    error::{FaultsSnafu, ParseSnafu, ReadSnafu},
    settings::Reader,
};

/// Settings of an entry VM that runs on a customer's platform.
#[derive(Debug, Clone, PartialEq)]
pub struct Fleet {
    /// Name of this VM.
    pub vm: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its region.
    pub region: Name,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the balancer's health check.
    pub health: SocketAddr,
    /// Address for other entry VMs.
    pub peers: SocketAddr,
    /// Address that other entry VMs are told, where it is not `peers`.
    pub announce: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the policy service, where there is one.
    pub advice: Option<SocketAddr>,
    /// Thousandths of a core that this VM has.
    pub power: u32,
    /// Bounds to keep to.
    pub bounds: Bounds,
}

/// Bounds that the platform sets, in milliseconds unless said.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Longest lease of what runs on a worker.
    pub hold: Millis,
    /// Factor by which a task takes longer away from its rack.
    pub remote: f64,
    /// Time that a resumed task takes to load its checkpoint.
    pub restore: Millis,
    /// Time for which a serving task may miss its target beside tasks that fill.
    pub impact: Millis,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Millis,
}

const ENTRY_KEYS: &[&str] = &["vm", "domain", "region", "callers", "health", "peers", "announce"];
const PLATFORM_KEYS: &[&str] = &["store", "advice"];
const VM_KEYS: &[&str] = &["share", "cores"];
const BOUND_KEYS: &[&str] = &["hold-ms", "remote", "restore-ms", "impact-ms", "grace-s"];

impl Fleet {
    /// Reads and checks a file of settings.
    ///
    /// # Errors
    /// [`Error::Read`], [`Error::Parse`], or [`Error::Faults`] with every fault.
    pub fn open(path: &Path) -> Result<Fleet, Error> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).context(ReadSnafu { path: name.as_str() })?;
        Fleet::parse(&name, &text)
    }

    /// Reads and checks the text of settings; `path` is named in errors.
    ///
    /// # Errors
    /// [`Error::Parse`], or [`Error::Faults`] with every fault.
    pub fn parse(path: &str, text: &str) -> Result<Fleet, Error> {
        let ini = Ini::load_from_str(text)
            .map_err(|e| ParseSnafu { path, reason: e.to_string() }.build())?;
        let mut reader = Reader { ini: &ini, faults: Vec::new() };
        let fleet = read(&mut reader);
        if reader.faults.is_empty() {
            return Ok(fleet);
        }
        FaultsSnafu { path, faults: reader.faults }.fail()
    }
}

fn read(reader: &mut Reader<'_>) -> Fleet {
    reader.known(&[
        ("entry", ENTRY_KEYS),
        ("platform", PLATFORM_KEYS),
        ("vm", VM_KEYS),
        ("bounds", BOUND_KEYS),
    ]);
    let power = number(reader, "vm", "share", 1.0) * number(reader, "vm", "cores", 1.0);
    Fleet {
        vm: reader.name("entry", "vm"),
        domain: reader.name("entry", "domain"),
        region: reader.name("entry", "region"),
        callers: reader.address("entry", "callers"),
        health: reader.address("entry", "health"),
        peers: reader.address("entry", "peers"),
        announce: optional(reader, "entry", "announce"),
        store: reader.address("platform", "store"),
        advice: optional(reader, "platform", "advice"),
        power: (power * 1000.0) as u32,
        bounds: Bounds {
            hold: number(reader, "bounds", "hold-ms", 10_000.0) as Millis,
            remote: number(reader, "bounds", "remote", 2.0),
            restore: number(reader, "bounds", "restore-ms", 600.0) as Millis,
            impact: number(reader, "bounds", "impact-ms", 4_000.0) as Millis,
            grace: (1000.0 * number(reader, "bounds", "grace-s", 6.0)) as Millis,
        },
    }
}

/// An address that may be missing or empty.
fn optional(reader: &mut Reader<'_>, section: &str, key: &str) -> Option<SocketAddr> {
    reader.text(section, key).filter(|text| !text.is_empty())?;
    Some(reader.address(section, key))
}

/// A number above zero; a key without a value takes the default.
fn number(reader: &mut Reader<'_>, section: &str, key: &str, default: f64) -> f64 {
    let text = reader.text(section, key).filter(|text| !text.is_empty());
    let Some(text) = text else { return default };
    match text.parse::<f64>() {
        Ok(number) if number.is_finite() && number > 0.0 => number,
        _ => {
            let wrong = format!("not a number above zero: {text:?}");
            reader.faults.push(Fault::new(section, key, wrong, "write a number like 1.5"));
            default
        }
    }
}
