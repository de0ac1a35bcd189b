//! Stand-ins and cases of the second review: `lab replica` is a replica, `lab CASE FOLDER` plays a case and
//! writes its record into the folder.

mod cases;
mod client;
mod entry;
mod net;
mod replica;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words[..] {
        ["replica", id, address, extra, slowness] => {
            let number = |text: &str| text.parse().expect("a number");
            let address = address.parse().expect("an address");
            replica::run(id, address, number(extra), number(slowness));
            ExitCode::SUCCESS
        }
        [case, folder] => {
            let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
            cases::play(case, folder.as_ref(), trouble)
        }
        _ => ExitCode::from(2),
    }
}
