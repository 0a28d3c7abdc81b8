//! Log output: lines of `key=value` pairs, written by a thread of their own.

use std::{
    collections::VecDeque,
    io::{self, Write},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use env_logger::{Builder, Env, Target};

/// Period at which buffered lines are written.
const FLUSH_PERIOD: Duration = Duration::from_millis(100);
/// Limit of the buffer; lines beyond it are dropped and counted.
const MAX_BUFFER_BYTES: usize = 1 << 20;

/// Log lines to be written by a separate thread, so that a reader that stops reading the
/// output never blocks the process. Lines are written whole or counted as dropped.
#[derive(Debug, Clone, Default)]
pub struct Buffer {
    lines: Arc<Mutex<Lines>>,
    /// Bytes taken from `lines` that the output has not accepted yet.
    unwritten: Arc<Mutex<VecDeque<u8>>>,
}

#[derive(Debug, Default)]
struct Lines {
    bytes: Vec<u8>,
    dropped: u64,
}

impl Lines {
    fn is_empty(&self) -> bool {
        self.bytes.is_empty() && self.dropped == 0
    }
}

impl Buffer {
    fn lines(&self) -> MutexGuard<'_, Lines> {
        lock(&self.lines)
    }

    /// Writes the buffered lines to standard output.
    pub fn flush(&self) {
        if self.lines().is_empty() && lock(&self.unwritten).is_empty() {
            return;
        }
        self.write_to(&mut io::stdout().lock());
    }

    /// Writes the buffered lines, as far as the output accepts them. The rest is kept.
    pub fn write_to(&self, output: &mut dyn Write) {
        let mut unwritten = lock(&self.unwritten);
        if !write_some(&mut unwritten, output) {
            return;
        }
        let Lines { bytes, dropped } = std::mem::take(&mut *self.lines());
        unwritten.extend(bytes);
        if dropped > 0 {
            unwritten.extend(format!("event=log_dropped lines={dropped}\n").into_bytes());
        }
        write_some(&mut unwritten, output);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Writes bytes until none are left or the output accepts no more; returns whether none are
/// left.
fn write_some(bytes: &mut VecDeque<u8>, output: &mut dyn Write) -> bool {
    while !bytes.is_empty() {
        match output.write(bytes.as_slices().0) {
            Ok(count) if count > 0 => drop(bytes.drain(..count)),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            // A pipe that is full accepts more later. If the output is closed, there is nowhere
            // to report the error.
            _ => return false,
        }
    }
    // `Stdout` buffers the last line, and keeps it if the pipe is full.
    output.flush().is_ok()
}

impl Write for Buffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut lines = self.lines();
        if lines.bytes.len() + line.len() > MAX_BUFFER_BYTES {
            lines.dropped += 1;
        } else {
            lines.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging lines of `key=value` pairs to standard error, or if `stdout`, buffered to
/// standard output. `RUST_LOG` sets the levels; `info` is the default.
pub fn init(stdout: bool) -> Buffer {
    let env = Env::default().default_filter_or("info");
    let buffer = Buffer::default();
    let target = if stdout { Target::Pipe(Box::new(buffer.clone())) } else { Target::Stderr };
    Builder::from_env(env)
        .target(target)
        .format(|out, record| {
            let level = record.level().as_str().to_ascii_lowercase();
            let time = base::now().unix;
            writeln!(out, "time={time} level={level} target={} {}", record.target(), record.args())
        })
        .init();
    if stdout {
        let buffer = buffer.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(FLUSH_PERIOD);
                buffer.flush();
            }
        });
    }
    buffer
}
