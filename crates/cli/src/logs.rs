use std::io::Write;

use env_logger::{Builder, Env};

/// Writes log lines of `key=value` pairs to the standard error stream. Levels
/// are set with `RUST_LOG`; `info` is the default.
pub(crate) fn init() {
    let env = Env::default().default_filter_or("info");
    Builder::from_env(env)
        .format(|out, record| {
            let level = record.level().as_str().to_ascii_lowercase();
            let time = base::now().unix;
            writeln!(out, "time={time} level={level} target={} {}", record.target(), record.args())
        })
        .init();
}
