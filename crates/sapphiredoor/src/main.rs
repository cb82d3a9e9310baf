//! Overload control daemon and operator client.

use std::process::ExitCode;

use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    sapphiredoor::run(std::env::args_os())
}
