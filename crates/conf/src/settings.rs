use std::{net::SocketAddr, path::Path, time::Duration};

use base::{Millis, Name};
use ini::{Ini, Properties};
use snafu::ResultExt;

use crate::{
    Error, Fault,
    error::{FaultsSnafu, ParseSnafu, ReadSnafu},
};

/// Settings of the process of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Identifier of this VM, as in the VM list.
    pub vm: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its region.
    pub region: Name,
    /// Address that callers and operators connect to.
    pub http: SocketAddr,
    /// Address that other entry VMs connect to.
    pub rpc: SocketAddr,
    /// How to reach the platform.
    pub platform: PlatformAddrs,
    /// Periods and time limits.
    pub timing: Timing,
}

/// Addresses of the platform's services, and the timeout of calls to them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformAddrs {
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the VM list.
    pub vms: SocketAddr,
    /// Timeout of a call to either service.
    pub timeout: Duration,
}

/// Periods and time limits of an entry VM, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Period of the control loop.
    pub tick: Millis,
    /// Lease of a primary while the log is reachable.
    pub lease: Millis,
    /// Lease of a primary while the log is unreachable.
    pub outage_lease: Millis,
    /// Lease of a running task.
    pub task_lease: Millis,
    /// Upper bound on the clock skew between VMs, added when deadlines are compared.
    pub skew: Millis,
    /// Time for which the log keeps records.
    pub retention: Millis,
    /// Upper bound on the time that a service request may take.
    pub deadline: Millis,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            tick: 50,
            lease: 1200,
            outage_lease: 60_000,
            task_lease: 15_000,
            skew: 200,
            retention: 86_400_000,
            deadline: 2000,
        }
    }
}

const ENTRY_KEYS: &[&str] = &["vm", "domain", "region", "http", "rpc"];
const PLATFORM_KEYS: &[&str] = &["log", "vms", "timeout"];
const TIMING_KEYS: &[&str] =
    &["tick", "lease", "outage-lease", "task-lease", "skew", "retention", "deadline"];

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// [`Error::Read`], [`Error::Parse`], or [`Error::Faults`] with every fault.
    pub fn open(path: &Path) -> Result<Settings, Error> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).context(ReadSnafu { path: name.as_str() })?;
        Settings::parse(&name, &text)
    }

    /// Parses and checks the text of a settings file; `path` appears in errors only.
    ///
    /// # Errors
    /// [`Error::Parse`], or [`Error::Faults`] with every fault.
    pub fn parse(path: &str, text: &str) -> Result<Settings, Error> {
        let ini = Ini::load_from_str(text)
            .map_err(|e| ParseSnafu { path, reason: e.to_string() }.build())?;
        let mut reader = IniReader { ini: &ini, faults: Vec::new() };
        let settings = reader.settings();
        if reader.faults.is_empty() {
            return Ok(settings);
        }
        FaultsSnafu { path, faults: reader.faults }.fail()
    }
}

/// Reads keys of an INI file and collects their faults.
pub(crate) struct IniReader<'a> {
    pub(crate) ini: &'a Ini,
    pub(crate) faults: Vec<Fault>,
}

impl IniReader<'_> {
    fn settings(&mut self) -> Settings {
        self.check_keys(&[
            ("entry", ENTRY_KEYS),
            ("platform", PLATFORM_KEYS),
            ("timing", TIMING_KEYS),
        ]);
        let defaults = Timing::default();
        let settings = Settings {
            vm: self.name("entry", "vm"),
            domain: self.name("entry", "domain"),
            region: self.name("entry", "region"),
            http: self.address("entry", "http"),
            rpc: self.address("entry", "rpc"),
            platform: PlatformAddrs {
                log: self.address("platform", "log"),
                vms: self.address("platform", "vms"),
                timeout: Duration::from_millis(self.duration("platform", "timeout", 1000)),
            },
            timing: Timing {
                tick: self.duration("timing", "tick", defaults.tick),
                lease: self.duration("timing", "lease", defaults.lease),
                outage_lease: self.duration("timing", "outage-lease", defaults.outage_lease),
                task_lease: self.duration("timing", "task-lease", defaults.task_lease),
                skew: self.duration("timing", "skew", defaults.skew),
                retention: self.duration("timing", "retention", defaults.retention),
                deadline: self.duration("timing", "deadline", defaults.deadline),
            },
        };
        self.check_timing(&settings.timing);
        settings
    }

    /// Records a fault for each section and key that is not in `sections`.
    pub(crate) fn check_keys(&mut self, sections: &[(&str, &[&str])]) {
        for (section, properties) in self.ini.iter() {
            let name = section.unwrap_or("");
            let Some((_, keys)) = sections.iter().find(|(known, _)| *known == name) else {
                if name.is_empty() && properties.is_empty() {
                    continue;
                }
                let names: Vec<String> = sections.iter().map(|(s, _)| format!("[{s}]")).collect();
                let (last, others) = names.split_last().map_or(("", &[][..]), |(l, o)| (l, o));
                let hint = format!("use {} or {last}", others.join(", "));
                self.faults.push(Fault::new(name, "", "unknown section", hint));
                continue;
            };
            self.check_section(name, properties, keys);
        }
    }

    fn check_section(&mut self, section: &str, properties: &Properties, keys: &[&str]) {
        for (key, _) in properties.iter().filter(|(key, _)| !keys.contains(key)) {
            let hint = format!("use one of {}", keys.join(", "));
            self.faults.push(Fault::new(section, key, "unknown key", hint));
        }
    }

    pub(crate) fn text(&mut self, section: &str, key: &str) -> Option<String> {
        self.ini.get_from(Some(section), key).map(str::to_owned)
    }

    pub(crate) fn name(&mut self, section: &str, key: &str) -> Name {
        let value = self.text(section, key).unwrap_or_default();
        let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-';
        if value.is_empty() || !value.chars().all(allowed) {
            let hint = "write letters, digits and hyphens";
            self.faults.push(Fault::new(section, key, format!("not a name: {value:?}"), hint));
        }
        value.into()
    }

    pub(crate) fn address(&mut self, section: &str, key: &str) -> SocketAddr {
        let value = self.text(section, key).unwrap_or_default();
        value.parse().unwrap_or_else(|_| {
            let problem = format!("not an IP address and port: {value:?}");
            self.faults.push(Fault::new(section, key, problem, "write it like 10.0.0.7:9100"));
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    pub(crate) fn duration(&mut self, section: &str, key: &str, default: Millis) -> Millis {
        let Some(value) = self.text(section, key) else { return default };
        parse_duration(&value).unwrap_or_else(|| {
            let problem = format!("not a positive duration: {value:?}");
            let hint = "write a whole number with ms, s, min or h, like 1200ms";
            self.faults.push(Fault::new(section, key, problem, hint));
            default
        })
    }

    /// Checks the relations between times that the protocol relies on.
    fn check_timing(&mut self, timing: &Timing) {
        let relations = [
            ("lease", timing.lease >= 4 * timing.tick, "make it at least four times tick"),
            ("outage-lease", timing.outage_lease >= timing.lease, "make it at least lease"),
            ("skew", timing.skew * 2 <= timing.lease, "make it at most half of lease"),
            ("task-lease", timing.task_lease >= 4 * timing.lease, "make it at least 4 times lease"),
            ("retention", timing.retention >= 4 * timing.task_lease, "make it 4 times task-lease"),
        ];
        for (key, holds, hint) in relations {
            if !holds {
                self.faults.push(Fault::new("timing", key, "conflicts with another time", hint));
            }
        }
    }
}

fn parse_duration(text: &str) -> Option<Millis> {
    let unit_at = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(unit_at);
    let factor = match unit.trim() {
        "ms" => 1,
        "s" => 1000,
        "min" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    number.parse::<Millis>().ok()?.checked_mul(factor).filter(|ms| *ms > 0)
}
