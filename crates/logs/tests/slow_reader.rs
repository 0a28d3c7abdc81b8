//! Log lines towards readers that take a few bytes at a time or stop: lines arrive whole and in
//! order, or are counted as dropped.

use std::io::{self, ErrorKind, Write};

use logs::Buffer;

/// Length of a line, with its newline.
const LINE_BYTES: usize = 32;

/// An output that accepts a limited number of bytes at each write, and in total until it is
/// read.
#[derive(Default)]
struct Pipe {
    bytes: Vec<u8>,
    /// Most bytes accepted by one write.
    chunk: usize,
    /// Bytes that it accepts until it is full.
    space: usize,
    /// Whether each write is interrupted once first.
    interrupts: bool,
    interrupted: bool,
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.interrupted = self.interrupts && !self.interrupted;
        if self.interrupted {
            return Err(ErrorKind::Interrupted.into());
        }
        let count = bytes.len().min(self.chunk).min(self.space);
        if count == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        self.space -= count;
        self.bytes.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn line(number: usize) -> String {
    format!("event=line number={number:013}\n")
}

struct Case {
    name: &'static str,
    chunk: usize,
    /// Bytes that the reader takes between two flushes.
    taken: usize,
    interrupts: bool,
    lines: usize,
}

#[test]
fn lines_arrive_whole_however_few_bytes_the_reader_takes() {
    let cases = [
        Case { name: "usual", chunk: usize::MAX, taken: usize::MAX, interrupts: false, lines: 100 },
        Case { name: "small chunks", chunk: 7, taken: usize::MAX, interrupts: false, lines: 100 },
        Case { name: "a slow reader", chunk: 64, taken: 50, interrupts: false, lines: 100 },
        Case { name: "interrupted writes", chunk: 9, taken: 500, interrupts: true, lines: 100 },
    ];
    for case in cases {
        let mut buffer = Buffer::default();
        let mut pipe = Pipe { chunk: case.chunk, interrupts: case.interrupts, ..Pipe::default() };
        let expected: String = (0..case.lines).map(line).collect();
        for number in 0..case.lines {
            buffer.write_all(line(number).as_bytes()).expect("the buffer never fails");
            pipe.space = case.taken;
            buffer.write_to(&mut pipe);
        }
        for _ in 0..expected.len() {
            pipe.space = case.taken;
            buffer.write_to(&mut pipe);
        }
        assert_eq!(String::from_utf8_lossy(&pipe.bytes), expected, "{}", case.name);
    }
}

#[test]
fn a_reader_that_stops_loses_whole_lines_which_are_counted() {
    let lines = 100_000;
    let mut buffer = Buffer::default();
    let mut pipe = Pipe { chunk: 4_096, space: 1_000, ..Pipe::default() };
    for number in 0..lines {
        buffer.write_all(line(number).as_bytes()).expect("the buffer never fails");
        if number % 1_000 == 0 {
            buffer.write_to(&mut pipe);
        }
    }
    pipe.space = usize::MAX;
    buffer.write_to(&mut pipe);
    let text = String::from_utf8_lossy(&pipe.bytes);
    let (mut seen, mut dropped) = (0, 0);
    for line in text.lines() {
        match line.strip_prefix("event=log_dropped lines=") {
            Some(count) => dropped += count.parse::<usize>().expect("a number"),
            None => {
                assert_eq!(line.len() + 1, LINE_BYTES, "torn: {line:?}");
                seen += 1;
            }
        }
    }
    assert_eq!(seen + dropped, lines);
    assert!(dropped > 0 && seen > 10_000, "{seen} seen, {dropped} dropped");
}
