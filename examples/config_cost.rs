//! Measures the cost of a configuration change in the key-value service: head, tail and snapshots, compared with a
//! single document that is rewritten on each change.
//!
//! `cargo run --example config_cost`

use eyre::eyre;
use sequoiastream_core::config::Action;
use sequoiastream_core::config::Base;
use sequoiastream_core::config::Command;
use sequoiastream_core::config::CommandId;
use sequoiastream_core::config::Event;
use sequoiastream_core::config::Proposal;
use sequoiastream_core::config::Replicator;
use sequoiastream_core::config::Revision;
use sequoiastream_core::config::State;
use sequoiastream_core::config::StoredHead;
use sequoiastream_core::config::SubmissionId;
use sequoiastream_core::config::SwapResult;
use sequoiastream_core::time::Time;
use sequoiastream_core::time::WallTime;
use sequoiastream_operator::Statement;
use sequoiastream_operator::parse;
use uuid::Uuid;

/// Number of changes measured: several days at 210 changes a day.
const CHANGES: u64 = 1_000;

/// Number of instances that read each head; 8 today.
const READERS: u64 = 8;

/// Number of calls for removing a snapshot: read, grant, write, release.
const REMOVAL_CALLS: u64 = 4;

#[derive(Debug, Default)]
struct Cost {
    written: u64,
    read: u64,
    calls: u64,
    largest: u64,
}

impl Cost {
    fn write(&mut self, bytes: usize) {
        self.written += bytes as u64;
        self.calls += 1;
        self.largest = self.largest.max(bytes as u64);
    }

    fn print(&self, name: &str) {
        println!(
            "  {name:<22} {:>9} B written  {:>9} B read by {READERS}  {:>5.2} calls  largest {:>7} B",
            self.written / CHANGES,
            self.read / CHANGES,
            self.calls as f64 / CHANGES as f64,
            self.largest
        );
    }
}

fn command(text: &str) -> eyre::Result<Command> {
    match parse(text).map_err(|e| eyre!("{e}"))? {
        Statement::Change(command) => Ok(command),
        _ => Err(eyre!("{text} is not a configuration change")),
    }
}

fn proposal(replicator: &Replicator, statement: String, commands: Vec<Command>) -> Proposal {
    Proposal {
        id: CommandId(Uuid::now_v7()),
        who: "giulia".to_string(),
        from: "10.0.0.9:40000".to_string(),
        when: WallTime(1_796_000_000_000),
        statement,
        commands,
        base: Base::Implied(replicator.state().version),
    }
}

/// Applies a change and adds its cost to `cost`.
fn accept(
    replicator: &mut Replicator,
    revision: &mut u64,
    proposal: Proposal,
    cost: &mut Cost,
) -> eyre::Result<()> {
    let mut events = vec![Event::Submitted(SubmissionId(1), Box::new(proposal))];
    while let Some(event) = events.pop() {
        for action in replicator.on(Time::ZERO, event) {
            match action {
                Action::StoreSnapshot(ticket, state) => {
                    cost.write(serde_json::to_vec(&state)?.len());
                    events.push(Event::SnapshotStored(ticket, state.version, true));
                }
                Action::SwapHead(ticket, _, head) => {
                    let bytes = serde_json::to_vec(&head)?.len();
                    cost.write(bytes);
                    cost.read += READERS * bytes as u64;
                    *revision += 1;
                    events.push(Event::Swapped(ticket, SwapResult::Done(Revision(*revision))));
                }
                Action::RemoveSnapshot(_) => cost.calls += REMOVAL_CALLS,
                Action::Answer(_, answer) => {
                    answer.map_err(|e| eyre!("{e}"))?;
                }
                _ => {}
            }
        }
    }
    Ok(())
}

/// Counts a write of the full state in one document, with the audit trail, so that it answers the same queries.
fn write_full_document(state: &State, cost: &mut Cost) -> eyre::Result<()> {
    let bytes = serde_json::to_vec(state)?.len();
    cost.write(bytes);
    cost.read += READERS * bytes as u64;
    Ok(())
}

/// Counts a write of the configuration alone. Without the audit trail it can't detect a repeated or concurrent command.
fn write_config_only(state: &State, cost: &mut Cost) -> eyre::Result<()> {
    let bytes = serde_json::to_vec(&state.config)?.len();
    cost.write(bytes);
    cost.read += READERS * bytes as u64;
    Ok(())
}

fn load_config(replicator: &mut Replicator, revision: &mut u64, products: u32) -> eyre::Result<()> {
    let mut texts = vec!["create service assistente model \"ghiaccio-7b\"".to_string()];
    texts.extend((0..products).map(|i| format!("create product p{i} key \"secret-{i}\" share 0")));
    texts.extend((0..24).map(|i| {
        format!("place engine e{i} service assistente zone lodi-a address 10.0.1.{i}:8000 fencing checked")
    }));
    for part in texts.chunks(200) {
        let commands = part
            .iter()
            .map(|text| command(text))
            .collect::<eyre::Result<Vec<_>>>()?;
        let proposal = proposal(replicator, part.join("; "), commands);
        accept(replicator, revision, proposal, &mut Cost::default())?;
    }
    Ok(())
}

fn main() -> eyre::Result<()> {
    for products in [10, 1_500] {
        let mut replicator = Replicator::new(Time::ZERO, std::time::Duration::from_secs(10));
        replicator.on(Time::ZERO, Event::Read(StoredHead::default()));
        let mut revision = 0;
        load_config(&mut replicator, &mut revision, products)?;
        let (mut ours, mut trail, mut plain) = (Cost::default(), Cost::default(), Cost::default());
        for change in 0..CHANGES {
            let verb = if change % 2 == 0 { "drain" } else { "resume" };
            let text = format!("{verb} engine e{}", (change / 2) % 24);
            let commands = vec![command(&text)?];
            let proposal = proposal(&replicator, text, commands);
            accept(&mut replicator, &mut revision, proposal, &mut ours)?;
            write_full_document(replicator.state(), &mut trail)?;
            write_config_only(replicator.state(), &mut plain)?;
        }
        println!("{products} products, 24 engines, each change on average over {CHANGES}:");
        ours.print("head, tail, snapshot");
        trail.print("full, with audit trail");
        plain.print("full, no audit trail");
    }
    Ok(())
}
