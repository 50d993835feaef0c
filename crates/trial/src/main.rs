//! Prints a table of the measurements of the policy and of the baselines under each workload.

use gumdrop::Options;
use lentilshift_trial::{
    Firm, NodeKind, NodePolicy, PlacementScore, ScoreTable, Simulation, TrialScore, Workload,
};

/// The command line options.
#[derive(Debug, Options)]
struct TrialOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the workload, or \"all\"", default = "all")]
    workload: String,
    #[options(help = "the simulated company, or \"all\"", default = "all")]
    firm: String,
    #[options(help = "the number of seeds", default = "5")]
    seeds: u64,
    #[options(
        help = "the node: naive, independent, policy, with --ablate the name of an ablation, or \"all\"",
        default = "all"
    )]
    node: String,
    #[options(help = "compare the policy with copies that each have one feature changed")]
    ablate: bool,
    #[options(help = "compare ways of choosing VMs, at this many VMs")]
    place: Option<usize>,
    #[options(help = "the VMs of another service that call these too", default = "0")]
    callers: usize,
}

fn main() {
    let options = TrialOptions::parse_args_default_or_exit();
    if let Some(vms) = options.place {
        print_placements(&options, vms);
        return;
    }
    let mut table = ScoreTable::default();
    for firm in [Firm::zuma(), Firm::turnwell()] {
        if !is_selected(&options.firm, firm.name) {
            continue;
        }
        for workload in Workload::ALL {
            if is_selected(&options.workload, workload.name()) {
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
        if !is_selected(&options.node, name) {
            continue;
        }
        let scores = run_seeds(options.seeds, firm, workload, &policy);
        table.add(firm.name, workload.name(), name, scores);
    }
}

fn print_placements(options: &TrialOptions, vms: usize) {
    let nodes = if options.ablate {
        NodePolicy::room_ablations()
    } else {
        NodePolicy::placements()
    };
    println!("{}", PlacementScore::HEADER);
    for seed in 1..=options.seeds {
        for (name, policy) in &nodes {
            if is_selected(&options.node, name) {
                let firm = Firm::yard_among(vms, options.callers);
                let trial = Simulation::new(firm, Workload::UnevenHosts, *policy, seed);
                println!("| {vms} | {seed} | {name} | {}", trial.run_placement());
            }
        }
    }
}

fn run_seeds(seeds: u64, firm: &Firm, workload: Workload, policy: &NodePolicy) -> Vec<TrialScore> {
    (1..=seeds)
        .map(|seed| Simulation::new(firm.clone(), workload, *policy, seed).run())
        .collect()
}

fn is_selected(choice: &str, name: &str) -> bool {
    choice == "all" || choice == name
}
