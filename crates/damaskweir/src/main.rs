//! Serving system for multi-stage model pipelines.

use pico_args::Arguments;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    match args.subcommand() {
        Ok(Some(command)) => match command.as_str() {
            "bench" => damaskweir_bench::run(args),
            other => {
                eprintln!("damaskweir: unknown command {other}");
                ExitCode::FAILURE
            }
        },
        Ok(None) => {
            eprintln!("damaskweir: no command given");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("damaskweir: {error}");
            ExitCode::FAILURE
        }
    }
}
