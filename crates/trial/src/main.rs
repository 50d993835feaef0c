//! Prints how the policy and the baselines fare under the trial's workloads.

use gumdrop::Options;
use lentilshift_trial::{Firm, NodeKind, NodePolicy, ScoreTable, TrialScore, TrialWorld, Workload};

/// The command line of the trial.
#[derive(Debug, Options)]
struct TrialOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the workload, or \"all\"", default = "all")]
    workload: String,
    #[options(help = "the firm, or \"all\"", default = "all")]
    firm: String,
    #[options(help = "the number of seeds", default = "5")]
    seeds: u64,
    #[options(
        help = "the node: naive, independent, policy or \"all\"",
        default = "all"
    )]
    node: String,
    #[options(help = "switch off each part of the policy in turn")]
    ablate: bool,
}

fn main() {
    let options = TrialOptions::parse_args_default_or_exit();
    let mut table = ScoreTable::default();
    for firm in [Firm::zuma(), Firm::turnwell()] {
        if !is_chosen(&options.firm, firm.name) {
            continue;
        }
        for workload in Workload::ALL {
            if is_chosen(&options.workload, workload.name()) {
                add_rows(&mut table, &options, &firm, workload);
            }
        }
    }
    print!("{table}");
}

fn add_rows(table: &mut ScoreTable, options: &TrialOptions, firm: &Firm, workload: Workload) {
    let nodes = if options.ablate {
        NodePolicy::ablations()
    } else {
        vec![
            ("naive", NodePolicy::new(NodeKind::Naive)),
            ("independent", NodePolicy::new(NodeKind::Independent)),
            ("policy", NodePolicy::new(NodeKind::Policy)),
        ]
    };
    for (name, policy) in nodes {
        if !options.ablate && !is_chosen(&options.node, name) {
            continue;
        }
        let scores = run_seeds(options.seeds, firm, workload, policy);
        table.add(firm.name, workload.name(), name, scores);
    }
}

fn run_seeds(seeds: u64, firm: &Firm, workload: Workload, policy: NodePolicy) -> Vec<TrialScore> {
    (1..=seeds)
        .map(|seed| TrialWorld::new(firm.clone(), workload, policy, seed).run())
        .collect()
}

fn is_chosen(choice: &str, name: &str) -> bool {
    choice == "all" || choice == name
}
