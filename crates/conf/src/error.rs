use std::fmt;

use serde::Serialize;
use snafu::Snafu;

/// A fault in settings or a document, and how to correct it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Section of the settings, or path within the document.
    pub section: String,
    /// Key within the section.
    pub key: String,
    /// What is wrong.
    #[serde(rename = "wrong")]
    pub problem: String,
    /// How to correct it.
    #[serde(rename = "mend")]
    pub hint: String,
}

impl Fault {
    /// Creates a fault of one key.
    pub fn new(
        section: impl Into<String>,
        key: impl Into<String>,
        problem: impl Into<String>,
        hint: impl Into<String>,
    ) -> Fault {
        Fault {
            section: section.into(),
            key: key.into(),
            problem: problem.into(),
            hint: hint.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}] {}: {}; {}", self.section, self.key, self.problem, self.hint)
    }
}

/// Failure to read settings or a document.
#[allow(missing_docs)]
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The file could not be read.
    #[snafu(display("could not read the file: {path}"))]
    Read { path: String, source: std::io::Error },
    /// The text is not INI.
    #[snafu(display("could not parse the settings: {path}: {reason}"))]
    Parse { path: String, reason: String },
    /// The text is not a document.
    #[snafu(display("could not parse the document: {reason}"))]
    Json { reason: String },
    /// The text could be parsed, but the check found faults.
    #[snafu(display("{}: {}", path, join(faults)))]
    Faults { path: String, faults: Vec<Fault> },
}

fn join(faults: &[Fault]) -> String {
    let lines: Vec<_> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
