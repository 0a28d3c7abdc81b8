use std::path::PathBuf;

use base::Size;
use bpaf::Bpaf;
use conf::{Document, Settings};
use snafu::ResultExt;

use crate::error::{Error, ReadSnafu};

/// Check settings (.ini) and documents (.json)
///
/// Each fault is printed with its section, its key and a hint on how to correct it.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Check {
    /// Largest VM as MILLICORES,MB,ACCELERATORS; larger sizes are faults
    #[bpaf(argument::<String>("SIZE"), parse(parse_size), optional)]
    largest: Option<Size>,
    /// Files to check
    #[bpaf(positional("FILE"), some("name at least one file"))]
    files: Vec<PathBuf>,
}

impl Check {
    pub(crate) fn run(&self) -> Result<(), Error> {
        for file in &self.files {
            let path = file.display().to_string();
            if file.extension().is_some_and(|e| e == "json") {
                let text = std::fs::read_to_string(file).context(ReadSnafu { path: &path })?;
                Document::parse(&text, self.largest)?;
            } else {
                Settings::open(file)?;
            }
            println!("{path}: ok");
        }
        Ok(())
    }
}

fn parse_size(text: String) -> Result<Size, String> {
    let parts: Vec<u64> = text.split(',').filter_map(|part| part.parse().ok()).collect();
    match parts.as_slice() {
        [cpu, memory, accel] => Ok(Size { cpu: *cpu, memory: *memory, accel: *accel }),
        _ => Err("write it like 16000,60000,0".to_owned()),
    }
}
