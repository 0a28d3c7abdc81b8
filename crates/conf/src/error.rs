use std::fmt;

use serde::Serialize;
use snafu::Snafu;

/// One thing wrong with settings or a document, and how to mend it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Section of the settings, or path within the document.
    pub section: String,
    /// Key within the section.
    pub key: String,
    /// What is wrong.
    pub wrong: String,
    /// What to write in its place.
    pub mend: String,
}

impl Fault {
    /// A fault of one key.
    pub fn new(
        section: impl Into<String>,
        key: impl Into<String>,
        wrong: impl Into<String>,
        mend: impl Into<String>,
    ) -> Fault {
        Fault { section: section.into(), key: key.into(), wrong: wrong.into(), mend: mend.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}] {}: {}; {}", self.section, self.key, self.wrong, self.mend)
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
    /// It was read, but some of it is wrong.
    #[snafu(display("{}: {}", path, join(faults)))]
    Faults { path: String, faults: Vec<Fault> },
}

fn join(faults: &[Fault]) -> String {
    let lines: Vec<_> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
