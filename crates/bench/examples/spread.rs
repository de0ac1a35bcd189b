//! Prints the measurement of the spread of bundles, as `damaskweir bench spread` does.

use pico_args::Arguments;

fn main() -> Result<(), damaskweir_bench::BenchError> {
    let words = std::iter::once("spread".into()).chain(std::env::args_os().skip(1));
    let text = damaskweir_bench::run(Arguments::from_vec(words.collect()))?;
    print!("{text}");
    Ok(())
}
