//! The scenario language.

use damaskweir_core::time::{Span, Time};
use winnow::ascii::{dec_uint, space0, space1};
use winnow::combinator::{alt, cut_err, eof, opt, preceded, repeat, terminated};
use winnow::error::{ContextError, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::{take_till, take_while};

/// A line that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}, column {column}: {reason}")]
pub struct ScenarioError {
    /// Counts from 1.
    pub line: usize,
    /// Counts characters from 1.
    pub column: usize,
    /// What is wrong.
    pub reason: String,
}

/// A scenario that has been read and checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scenario {
    pub(crate) entries: usize,
    /// Time between two processes.
    pub(crate) network: Span,
    pub(crate) pools: Vec<PoolLine>,
    pub(crate) pipelines: Vec<PipelineLine>,
    pub(crate) traffic: Vec<TrafficLine>,
    pub(crate) faults: Vec<(Time, Fault)>,
    pub(crate) expectations: Vec<Expectation>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PoolLine {
    pub(crate) name: String,
    pub(crate) servers: usize,
    pub(crate) slots: u32,
    pub(crate) time: Span,
    /// Calls may run only once.
    pub(crate) once: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PipelineLine {
    pub(crate) name: String,
    pub(crate) deadline: Span,
    pub(crate) stages: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TrafficLine {
    pub(crate) pipeline: String,
    pub(crate) rate: u64,
    pub(crate) from: Time,
    pub(crate) length: Span,
    /// Share of calls that the caller sends a second time under the same key, in percent.
    pub(crate) repeat: u64,
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    Pause(String, Span),
    Kill(String, Span),
    Cut(String, String, Span),
    Slow(String, u64, Span),
    Fail(String, Span),
    Stop(String),
    StoreDown(Span),
    StoreSlow(Span, Span),
    LoseAnswer,
    /// Breaks the store's promise, to show that `never doubled` can fail.
    StoreBlind,
    /// Lowers the version in the store, to show that `never reverts` can fail.
    StoreReverts,
    /// Has a side report ends as refusals, and itself as drained when it stops, to show that
    /// `no untrue refusal` and `nothing cut off` can fail.
    Misreport(String),
    /// Runs an entry's timers late, to show that `answered at once` can fail.
    Lag(String),
    /// Breaks a backend server, to show that `nothing lost` can fail.
    Corrupt(String),
    Approve {
        bundle: String,
        twice: bool,
    },
}

/// What must hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Expectation {
    NeverDoubled,
    NothingLost,
    NoUntrueRefusal,
    NothingCutOff,
    AnsweredAtOnce,
    OneApprovalWins,
    NeverReverts,
    InForce(Span),
    NoNewWork(String, Span),
    Attainment(u64),
}

enum Line {
    Empty,
    Entries(usize),
    Network(Span),
    Pool(PoolLine),
    Pipeline(PipelineLine),
    Traffic(TrafficLine),
    At(Time, Event),
    Expect(Expectation),
}

enum Event {
    Fault(Fault),
    Burst(TrafficLine),
}

/// Reads a scenario.
pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
    let mut scenario = Scenario {
        entries: 2,
        network: Span(500),
        pools: Vec::new(),
        pipelines: Vec::new(),
        traffic: Vec::new(),
        faults: Vec::new(),
        expectations: Vec::new(),
    };
    for (i, text) in text.lines().enumerate() {
        let wrong = |column, reason| ScenarioError { line: i + 1, column, reason };
        let parsed = line.parse(text).map_err(|error| {
            let column = text[..error.offset()].chars().count() + 1;
            let reason = error.inner().to_string().replace('\n', ", ");
            let reason = if reason.is_empty() { "not understood".to_owned() } else { reason };
            wrong(column, reason)
        })?;
        scenario.add(parsed).map_err(|name| {
            let column = text.find(&name).map_or(1, |at| text[..at].chars().count() + 1);
            wrong(column, format!("'{name}' is not known"))
        })?;
    }
    Ok(scenario)
}

impl Scenario {
    /// Adds a line. An error names what is not known at this point of the file.
    fn add(&mut self, line: Line) -> Result<(), String> {
        match line {
            Line::Empty => {}
            Line::Entries(entries) => self.entries = entries,
            Line::Network(network) => self.network = network,
            Line::Pool(pool) => self.pools.push(pool),
            Line::Pipeline(pipeline) => {
                let known = |stage: &&String| !self.pools.iter().any(|pool| pool.name == **stage);
                if let Some(unknown) = pipeline.stages.iter().find(known) {
                    return Err(unknown.clone());
                }
                self.pipelines.push(pipeline);
            }
            Line::Traffic(traffic) => self.add_traffic(traffic)?,
            Line::At(at, Event::Burst(burst)) => {
                self.add_traffic(TrafficLine { from: at, ..burst })?;
            }
            Line::At(at, Event::Fault(fault)) => {
                let names = match &fault {
                    Fault::Pause(a, _) | Fault::Kill(a, _) | Fault::Slow(a, ..) => vec![a],
                    Fault::Fail(a, _) | Fault::Stop(a) | Fault::Corrupt(a) => vec![a],
                    Fault::Misreport(a) | Fault::Lag(a) => vec![a],
                    Fault::Cut(a, b, _) => vec![a, b],
                    _ => Vec::new(),
                };
                self.check(&names)?;
                self.faults.push((at, fault));
            }
            Line::Expect(expectation) => {
                if let Expectation::NoNewWork(server, _) = &expectation {
                    self.check(&[server])?;
                }
                self.expectations.push(expectation);
            }
        }
        Ok(())
    }

    fn add_traffic(&mut self, traffic: TrafficLine) -> Result<(), String> {
        if !self.pipelines.iter().any(|pipeline| pipeline.name == traffic.pipeline) {
            return Err(traffic.pipeline);
        }
        self.traffic.push(traffic);
        Ok(())
    }

    fn check(&self, names: &[&String]) -> Result<(), String> {
        for name in names {
            if self.entry(name).is_none() && self.server(name).is_none() {
                return Err((*name).clone());
            }
        }
        Ok(())
    }

    /// Position of an entry by name.
    pub(crate) fn entry(&self, name: &str) -> Option<usize> {
        (0..self.entries).find(|i| name == format!("entry-{}", i + 1))
    }

    /// Position of a server among those of all pools.
    pub(crate) fn server(&self, name: &str) -> Option<usize> {
        self.servers().position(|(_, server)| server == name)
    }

    /// All servers with the positions of their pools.
    pub(crate) fn servers(&self) -> impl Iterator<Item = (usize, String)> {
        let of = |(i, pool): (usize, &PoolLine)| {
            let name = pool.name.clone();
            (0..pool.servers).map(move |n| (i, format!("{name}-{n}"))).collect::<Vec<_>>()
        };
        self.pools.iter().enumerate().flat_map(of)
    }
}

type Input<'a> = &'a str;

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn line(input: &mut Input<'_>) -> ModalResult<Line> {
    let statement = alt((
        preceded(word("entries"), cut_err(count)).map(Line::Entries),
        preceded(word("network"), cut_err(span)).map(Line::Network),
        preceded(word("pool"), cut_err(pool)).map(Line::Pool),
        preceded(word("pipeline"), cut_err(pipeline)).map(Line::Pipeline),
        preceded(word("traffic"), cut_err(traffic)).map(Line::Traffic),
        preceded(word("at"), cut_err((span, cut_err(event))))
            .map(|(at, event)| Line::At(Time(at.0), event)),
        preceded(word("expect"), cut_err(expectation)).map(Line::Expect),
    ))
    .context(expected("entries, network, pool, pipeline, traffic, at or expect"));
    let comment = (space0, opt(('#', take_till(0.., ['\n', '\r']))), eof);
    let mut line = alt((
        comment.map(|_| Line::Empty),
        terminated(
            preceded(space0, statement),
            cut_err((space0, opt(('#', take_till(0.., ['\n', '\r']))), eof))
                .context(expected("end of line")),
        ),
    ));
    line.parse_next(input)
}

/// A word and the space after it.
fn word<'a>(
    word: &'static str,
) -> impl Parser<Input<'a>, &'a str, winnow::error::ErrMode<ContextError>> {
    terminated(word, alt((space1, eof)))
        .context(StrContext::Expected(StrContextValue::StringLiteral(word)))
}

fn name(input: &mut Input<'_>) -> ModalResult<String> {
    terminated(take_while(1.., |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_'), space0)
        .map(str::to_owned)
        .context(expected("a name"))
        .parse_next(input)
}

fn number(input: &mut Input<'_>) -> ModalResult<u64> {
    terminated(dec_uint::<_, u64, _>, space0)
        .verify(|number| *number < 1_000_000)
        .context(expected("a number below a million"))
        .parse_next(input)
}

fn count(input: &mut Input<'_>) -> ModalResult<usize> {
    number
        .verify(|number| (1..=100).contains(number))
        .map(|number| number as usize)
        .context(expected("a number from 1 to 100"))
        .parse_next(input)
}

fn span(input: &mut Input<'_>) -> ModalResult<Span> {
    let unit = alt(("us".value(1), "ms".value(1_000), "s".value(1_000_000)));
    terminated((dec_uint::<_, u64, _>, unit), space0)
        .verify(|(number, _)| *number < 1_000_000)
        .map(|(number, unit): (u64, u64)| Span(number * unit))
        .context(expected("a time such as 30s, 20ms or 500us"))
        .parse_next(input)
}

fn pool(input: &mut Input<'_>) -> ModalResult<PoolLine> {
    let servers = preceded(word("servers"), count);
    let slots = preceded(word("slots"), count);
    let time = preceded(word("time"), span);
    (name, servers, slots, time, opt(word("once")))
        .map(|(name, servers, slots, time, once)| PoolLine {
            name,
            servers,
            slots: slots as u32,
            time,
            once: once.is_some(),
        })
        .parse_next(input)
}

fn pipeline(input: &mut Input<'_>) -> ModalResult<PipelineLine> {
    let deadline = preceded(word("deadline"), span);
    let stages = preceded(word("stages"), repeat(1.., name));
    (name, deadline, stages)
        .map(|(name, deadline, stages)| PipelineLine { name, deadline, stages })
        .parse_next(input)
}

fn traffic(input: &mut Input<'_>) -> ModalResult<TrafficLine> {
    let rate = terminated(number, (word("per"), word("second")));
    let length = preceded(word("for"), span);
    let repeat = opt(preceded(word("repeat"), percent));
    (name, rate, length, repeat)
        .map(|(pipeline, rate, length, repeat)| TrafficLine {
            pipeline,
            rate,
            from: Time(0),
            length,
            repeat: repeat.unwrap_or(0),
        })
        .parse_next(input)
}

fn percent(input: &mut Input<'_>) -> ModalResult<u64> {
    let number = dec_uint::<_, u64, _>.verify(|number| *number <= 100);
    terminated(number, ('%', space0))
        .context(expected("a percentage such as 99%"))
        .parse_next(input)
}

fn length(input: &mut Input<'_>) -> ModalResult<Span> {
    preceded(word("for"), span).parse_next(input)
}

fn event(input: &mut Input<'_>) -> ModalResult<Event> {
    let store = alt((
        preceded(word("down"), length).map(Fault::StoreDown),
        preceded(word("slow"), (span, length)).map(|(by, length)| Fault::StoreSlow(by, length)),
        (word("loses"), word("answer"), word("of"), word("next"), word("write"))
            .value(Fault::LoseAnswer),
        (word("ignores"), word("conditions")).value(Fault::StoreBlind),
        word("reverts").value(Fault::StoreReverts),
    ))
    .context(expected("down, slow, ignores conditions, reverts or loses answer of next write"));
    let twice = opt((word("by"), word("two"), word("operators")));
    let cut = (name, preceded(word("from"), name), length);
    let slow = (name, preceded(word("by"), number), length);
    let broken = alt((
        preceded(word("corrupt"), cut_err(name)).map(Fault::Corrupt),
        preceded(word("misreport"), cut_err(name)).map(Fault::Misreport),
        preceded(word("lag"), cut_err(name)).map(Fault::Lag),
    ));
    let fault = alt((
        preceded(word("pause"), cut_err((name, length))).map(|(who, l)| Fault::Pause(who, l)),
        preceded(word("kill"), cut_err((name, length))).map(|(who, l)| Fault::Kill(who, l)),
        preceded(word("fail"), cut_err((name, length))).map(|(who, l)| Fault::Fail(who, l)),
        preceded(word("cut"), cut_err(cut)).map(|(a, b, l)| Fault::Cut(a, b, l)),
        preceded(word("slow"), cut_err(slow)).map(|(who, by, l)| Fault::Slow(who, by, l)),
        preceded(word("stop"), cut_err(name)).map(Fault::Stop),
        broken,
        preceded(word("store"), cut_err(store)),
        preceded(word("approve"), cut_err((name, twice)))
            .map(|(bundle, twice)| Fault::Approve { bundle, twice: twice.is_some() }),
    ))
    .context(expected(
        "pause, kill, fail, cut, slow, stop, corrupt, misreport, lag, burst, store or approve",
    ));
    alt((preceded(word("burst"), cut_err(traffic)).map(Event::Burst), fault.map(Event::Fault)))
        .parse_next(input)
}

fn expectation(input: &mut Input<'_>) -> ModalResult<Expectation> {
    let plain = alt((
        (word("never"), word("doubled")).value(Expectation::NeverDoubled),
        (word("never"), word("reverts")).value(Expectation::NeverReverts),
        (word("nothing"), word("lost")).value(Expectation::NothingLost),
        (word("nothing"), word("cut"), word("off")).value(Expectation::NothingCutOff),
        (word("no"), word("untrue"), word("refusal")).value(Expectation::NoUntrueRefusal),
        (word("answered"), word("at"), word("once")).value(Expectation::AnsweredAtOnce),
        (word("one"), word("approval"), word("wins")).value(Expectation::OneApprovalWins),
    ));
    let force = (word("in"), word("force"), word("everywhere"), word("within"));
    let work = (word("no"), word("new"), word("work"), word("on"));
    let measured = alt((
        preceded(force, span).map(Expectation::InForce),
        preceded(work, (name, preceded(word("after"), span)))
            .map(|(server, after)| Expectation::NoNewWork(server, after)),
        preceded((word("attainment"), word("at"), word("least")), percent)
            .map(Expectation::Attainment),
    ));
    alt((plain, measured))
        .context(expected("an expectation of docs/scenarios.md"))
        .parse_next(input)
}
