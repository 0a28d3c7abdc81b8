//! A VM that leads alone, with callers and a store that fail.

mod drain;
mod vm;
