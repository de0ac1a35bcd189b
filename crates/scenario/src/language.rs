//! Parser of the scenario language.

use damaskweir_core::time::{Span, Time};
use winnow::ascii::{dec_uint, space0, space1};
use winnow::combinator::{alt, cut_err, eof, opt, preceded, repeat, terminated};
use winnow::error::{ContextError, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::{take_till, take_while};

/// Error in a line of a scenario.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}, column {column}: {reason}")]
pub struct ScenarioError {
    /// Line number, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What was expected instead, or which name is unknown.
    pub reason: String,
}

/// A parsed scenario in which all names are known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scenario {
    pub(crate) entries: usize,
    /// Mean one-way delay between two processes.
    pub(crate) network_delay: Span,
    pub(crate) pools: Vec<PoolStatement>,
    pub(crate) pipelines: Vec<PipelineStatement>,
    pub(crate) traffic: Vec<TrafficStatement>,
    pub(crate) faults: Vec<(Time, Fault)>,
    pub(crate) expectations: Vec<Expectation>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PoolStatement {
    pub(crate) name: String,
    pub(crate) servers: usize,
    pub(crate) slots: u32,
    pub(crate) service_time: Span,
    /// Whether the pool is non-idempotent: a call may run only once.
    pub(crate) once: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PipelineStatement {
    pub(crate) name: String,
    pub(crate) deadline: Span,
    pub(crate) stages: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TrafficStatement {
    pub(crate) pipeline: String,
    pub(crate) rate: u64,
    pub(crate) start: Time,
    pub(crate) duration: Span,
    /// Percentage of calls that the caller sends a second time under the same idempotency key.
    pub(crate) repeat_percent: u64,
}

/// A fault or an operator's action. A run prints its `Debug` form.
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
    /// Makes the store ignore write conditions, to show that `never doubled` can fail.
    StoreBlind,
    /// Resets the version in the store to 1, to show that `never reverts` can fail.
    StoreReverts,
    /// Makes a side report finished attempts as refused, and itself as drained as soon as it is
    /// stopped, to show that `no untrue refusal` and `nothing cut off` can fail.
    Misreport(String),
    /// Delays an entry's timers, to show that `answered at once` can fail.
    Lag(String),
    /// Makes a backend server return wrong outputs, to show that `nothing lost` can fail.
    Corrupt(String),
    Approve {
        bundle: String,
        twice: bool,
    },
}

/// Condition that a run must meet.
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

enum Statement {
    Empty,
    Entries(usize),
    Network(Span),
    Pool(PoolStatement),
    Pipeline(PipelineStatement),
    Traffic(TrafficStatement),
    At(Time, TimedStatement),
    Expect(Expectation),
}

enum TimedStatement {
    Fault(Fault),
    Burst(TrafficStatement),
}

/// Parses a scenario.
pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
    let mut scenario = Scenario {
        entries: 2,
        network_delay: Span(500),
        pools: Vec::new(),
        pipelines: Vec::new(),
        traffic: Vec::new(),
        faults: Vec::new(),
        expectations: Vec::new(),
    };
    for (i, text) in text.lines().enumerate() {
        let error_at = |column, reason| ScenarioError { line: i + 1, column, reason };
        let parsed = line.parse(text).map_err(|error| {
            let column = text[..error.offset()].chars().count() + 1;
            let reason = error.inner().to_string().replace('\n', ", ");
            let reason = if reason.is_empty() { "not understood".to_owned() } else { reason };
            error_at(column, reason)
        })?;
        scenario.add(parsed).map_err(|name| {
            let column = text.find(&name).map_or(1, |at| text[..at].chars().count() + 1);
            error_at(column, format!("'{name}' is not known"))
        })?;
    }
    Ok(scenario)
}

impl Scenario {
    /// Adds a statement. Names must be defined on an earlier line; the error is the unknown name.
    fn add(&mut self, statement: Statement) -> Result<(), String> {
        match statement {
            Statement::Empty => {}
            Statement::Entries(entries) => self.entries = entries,
            Statement::Network(network) => self.network_delay = network,
            Statement::Pool(pool) => self.pools.push(pool),
            Statement::Pipeline(pipeline) => {
                let unknown_stage =
                    |stage: &&String| !self.pools.iter().any(|pool| pool.name == **stage);
                if let Some(unknown) = pipeline.stages.iter().find(unknown_stage) {
                    return Err(unknown.clone());
                }
                self.pipelines.push(pipeline);
            }
            Statement::Traffic(traffic) => self.add_traffic(traffic)?,
            Statement::At(at, TimedStatement::Burst(burst)) => {
                self.add_traffic(TrafficStatement { start: at, ..burst })?;
            }
            Statement::At(at, TimedStatement::Fault(fault)) => {
                let names = match &fault {
                    Fault::Pause(a, _) | Fault::Kill(a, _) | Fault::Slow(a, ..) => vec![a],
                    Fault::Fail(a, _) | Fault::Stop(a) | Fault::Corrupt(a) => vec![a],
                    Fault::Misreport(a) | Fault::Lag(a) => vec![a],
                    Fault::Cut(a, b, _) => vec![a, b],
                    _ => Vec::new(),
                };
                self.check_names(&names)?;
                self.faults.push((at, fault));
            }
            Statement::Expect(expectation) => {
                if let Expectation::NoNewWork(server, _) = &expectation {
                    self.check_names(&[server])?;
                }
                self.expectations.push(expectation);
            }
        }
        Ok(())
    }

    fn add_traffic(&mut self, traffic: TrafficStatement) -> Result<(), String> {
        if !self.pipelines.iter().any(|pipeline| pipeline.name == traffic.pipeline) {
            return Err(traffic.pipeline);
        }
        self.traffic.push(traffic);
        Ok(())
    }

    fn check_names(&self, names: &[&String]) -> Result<(), String> {
        for name in names {
            if self.entry_index(name).is_none() && self.server_index(name).is_none() {
                return Err((*name).clone());
            }
        }
        Ok(())
    }

    /// Index of an entry by name.
    pub(crate) fn entry_index(&self, name: &str) -> Option<usize> {
        (0..self.entries).find(|i| name == format!("entry-{}", i + 1))
    }

    /// Index of a server among those of all pools.
    pub(crate) fn server_index(&self, name: &str) -> Option<usize> {
        self.servers().position(|(_, server)| server == name)
    }

    /// Names of all servers, with the index of their pool.
    pub(crate) fn servers(&self) -> impl Iterator<Item = (usize, String)> {
        let pool_servers = |(i, pool): (usize, &PoolStatement)| {
            let name = pool.name.clone();
            (0..pool.servers).map(move |n| (i, format!("{name}-{n}"))).collect::<Vec<_>>()
        };
        self.pools.iter().enumerate().flat_map(pool_servers)
    }
}

type Input<'a> = &'a str;

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn line(input: &mut Input<'_>) -> ModalResult<Statement> {
    let statement = alt((
        preceded(keyword("entries"), cut_err(count)).map(Statement::Entries),
        preceded(keyword("network"), cut_err(span)).map(Statement::Network),
        preceded(keyword("pool"), cut_err(pool)).map(Statement::Pool),
        preceded(keyword("pipeline"), cut_err(pipeline)).map(Statement::Pipeline),
        preceded(keyword("traffic"), cut_err(traffic)).map(Statement::Traffic),
        preceded(keyword("at"), cut_err((span, cut_err(event))))
            .map(|(at, event)| Statement::At(Time(at.0), event)),
        preceded(keyword("expect"), cut_err(expectation)).map(Statement::Expect),
    ))
    .context(expected("entries, network, pool, pipeline, traffic, at or expect"));
    let comment = (space0, opt(('#', take_till(0.., ['\n', '\r']))), eof);
    let mut line = alt((
        comment.map(|_| Statement::Empty),
        terminated(
            preceded(space0, statement),
            cut_err((space0, opt(('#', take_till(0.., ['\n', '\r']))), eof))
                .context(expected("end of line")),
        ),
    ));
    line.parse_next(input)
}

/// Parses a keyword and the space after it.
fn keyword<'a>(
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

fn pool(input: &mut Input<'_>) -> ModalResult<PoolStatement> {
    let servers = preceded(keyword("servers"), count);
    let slots = preceded(keyword("slots"), count);
    let time = preceded(keyword("time"), span);
    (name, servers, slots, time, opt(keyword("once")))
        .map(|(name, servers, slots, time, once)| PoolStatement {
            name,
            servers,
            slots: slots as u32,
            service_time: time,
            once: once.is_some(),
        })
        .parse_next(input)
}

fn pipeline(input: &mut Input<'_>) -> ModalResult<PipelineStatement> {
    let deadline = preceded(keyword("deadline"), span);
    let stages = preceded(keyword("stages"), repeat(1.., name));
    (name, deadline, stages)
        .map(|(name, deadline, stages)| PipelineStatement { name, deadline, stages })
        .parse_next(input)
}

fn traffic(input: &mut Input<'_>) -> ModalResult<TrafficStatement> {
    let rate = terminated(number, (keyword("per"), keyword("second")));
    let duration = preceded(keyword("for"), span);
    let repeat = opt(preceded(keyword("repeat"), percent));
    (name, rate, duration, repeat)
        .map(|(pipeline, rate, duration, repeat)| TrafficStatement {
            pipeline,
            rate,
            start: Time(0),
            duration,
            repeat_percent: repeat.unwrap_or(0),
        })
        .parse_next(input)
}

fn percent(input: &mut Input<'_>) -> ModalResult<u64> {
    let number = dec_uint::<_, u64, _>.verify(|number| *number <= 100);
    terminated(number, ('%', space0))
        .context(expected("a percentage such as 99%"))
        .parse_next(input)
}

fn duration(input: &mut Input<'_>) -> ModalResult<Span> {
    preceded(keyword("for"), span).parse_next(input)
}

fn event(input: &mut Input<'_>) -> ModalResult<TimedStatement> {
    let store = alt((
        preceded(keyword("down"), duration).map(Fault::StoreDown),
        preceded(keyword("slow"), (span, duration))
            .map(|(by, duration)| Fault::StoreSlow(by, duration)),
        (keyword("loses"), keyword("answer"), keyword("of"), keyword("next"), keyword("write"))
            .value(Fault::LoseAnswer),
        (keyword("ignores"), keyword("conditions")).value(Fault::StoreBlind),
        keyword("reverts").value(Fault::StoreReverts),
    ))
    .context(expected("down, slow, ignores conditions, reverts or loses answer of next write"));
    let twice = opt((keyword("by"), keyword("two"), keyword("operators")));
    let cut = (name, preceded(keyword("from"), name), duration);
    let slow = (name, preceded(keyword("by"), number), duration);
    let misbehaviour = alt((
        preceded(keyword("corrupt"), cut_err(name)).map(Fault::Corrupt),
        preceded(keyword("misreport"), cut_err(name)).map(Fault::Misreport),
        preceded(keyword("lag"), cut_err(name)).map(Fault::Lag),
    ));
    let fault = alt((
        preceded(keyword("pause"), cut_err((name, duration)))
            .map(|(name, l)| Fault::Pause(name, l)),
        preceded(keyword("kill"), cut_err((name, duration))).map(|(name, l)| Fault::Kill(name, l)),
        preceded(keyword("fail"), cut_err((name, duration))).map(|(name, l)| Fault::Fail(name, l)),
        preceded(keyword("cut"), cut_err(cut)).map(|(a, b, l)| Fault::Cut(a, b, l)),
        preceded(keyword("slow"), cut_err(slow)).map(|(name, by, l)| Fault::Slow(name, by, l)),
        preceded(keyword("stop"), cut_err(name)).map(Fault::Stop),
        misbehaviour,
        preceded(keyword("store"), cut_err(store)),
        preceded(keyword("approve"), cut_err((name, twice)))
            .map(|(bundle, twice)| Fault::Approve { bundle, twice: twice.is_some() }),
    ))
    .context(expected(
        "pause, kill, fail, cut, slow, stop, corrupt, misreport, lag, burst, store or approve",
    ));
    alt((
        preceded(keyword("burst"), cut_err(traffic)).map(TimedStatement::Burst),
        fault.map(TimedStatement::Fault),
    ))
    .parse_next(input)
}

fn expectation(input: &mut Input<'_>) -> ModalResult<Expectation> {
    let simple = alt((
        (keyword("never"), keyword("doubled")).value(Expectation::NeverDoubled),
        (keyword("never"), keyword("reverts")).value(Expectation::NeverReverts),
        (keyword("nothing"), keyword("lost")).value(Expectation::NothingLost),
        (keyword("nothing"), keyword("cut"), keyword("off")).value(Expectation::NothingCutOff),
        (keyword("no"), keyword("untrue"), keyword("refusal")).value(Expectation::NoUntrueRefusal),
        (keyword("answered"), keyword("at"), keyword("once")).value(Expectation::AnsweredAtOnce),
        (keyword("one"), keyword("approval"), keyword("wins")).value(Expectation::OneApprovalWins),
    ));
    let in_force = (keyword("in"), keyword("force"), keyword("everywhere"), keyword("within"));
    let no_new_work = (keyword("no"), keyword("new"), keyword("work"), keyword("on"));
    let parameterized = alt((
        preceded(in_force, span).map(Expectation::InForce),
        preceded(no_new_work, (name, preceded(keyword("after"), span)))
            .map(|(server, after)| Expectation::NoNewWork(server, after)),
        preceded((keyword("attainment"), keyword("at"), keyword("least")), percent)
            .map(Expectation::Attainment),
    ));
    alt((simple, parameterized))
        .context(expected("an expectation of docs/scenarios.md"))
        .parse_next(input)
}
