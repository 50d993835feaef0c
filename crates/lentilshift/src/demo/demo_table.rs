use crate::demo::DemoFleet;
use crate::demo::demo_contract::OVER_RATE_TEAM;
use crate::demo::demo_row::DemoRow;

/// Prints the addresses of the fleet.
pub(crate) fn print_addresses(fleet: &DemoFleet) {
    println!("A platform's log, two services and three nodes run in this process:\n");
    println!(
        "  {:<12} {:<16} {:<16} {:<16} backend server",
        "node", "callers", "egress", "admin"
    );
    for vm in &fleet.vms {
        println!(
            "  {:<12} {:<16} {:<16} {:<16} {}",
            vm.name,
            vm.node.caller_address().to_string(),
            vm.node.egress_address().to_string(),
            vm.node.admin_address().to_string(),
            vm.backend.address(),
        );
    }
    println!("\n  platform's log: {}", fleet.log_address);
    println!("\nThe path of a request, which may enter at any node:\n");
    println!("  caller -> node -> node of filings -> filings");
    println!("                                         |");
    println!("            registry <- node of registry <- node of filings\n");
}

/// Prints the result table.
pub(crate) fn print_rows(rows: &[DemoRow]) {
    let width = rows.iter().map(|row| row.label.len()).max().unwrap_or(0);
    let refused: Vec<String> = rows.iter().map(DemoRow::refused_text).collect();
    let refused_width = refused.iter().map(String::len).max().unwrap_or(0);
    let refused_width = refused_width.max("refused, and why".len());
    println!(
        "  {:<width$}  {:>5} {:>7}  {:<refused_width$}  note",
        "what was sent", "sent", "served", "refused, and why"
    );
    println!("  {}", "-".repeat(width + refused_width + 40));
    for (row, refused) in rows.iter().zip(&refused) {
        let line = format!(
            "  {:<width$}  {:>5} {:>7}  {:<refused_width$}  {}",
            row.label,
            row.sent(),
            row.served,
            refused,
            row.note
        );
        println!("{}", line.trim_end());
    }
    println!();
}

/// Prints commands that can be tried while the fleet is running.
pub(crate) fn print_instructions(fleet: &DemoFleet, steady_key: &str, over_rate_key: &str) {
    let vm = &fleet.vms[0];
    let callers = vm.node.caller_address();
    let admin = vm.node.admin_address();
    let platform = fleet.log_address;
    let program = std::env::args().next();
    let program = program.unwrap_or_else(|| "lentilshift".to_owned());
    println!("The fleet stays up until Ctrl-C. Try:\n");
    println!("  curl -i -H 'x-api-key: {steady_key}' http://{callers}/filings/records/7");
    println!("  curl -i http://{callers}/filings/records/7      (no key)");
    println!("  curl -i http://{callers}/filings/status         (open to all)");
    println!(
        "  curl -i -X POST -H 'x-api-key: {steady_key}' -H 'idempotency-key: my-1' http://{callers}/filings/charges"
    );
    println!("  curl http://{admin}/metrics");
    println!("  {program} dump {admin}\n");
    println!("A node needs the fleet secret to join:\n");
    println!("  export LENTILSHIFT_FLEET_SECRET={}\n", fleet.secret);
    println!("Team \"{OVER_RATE_TEAM}\" has 10 requests a second, with this key:\n");
    println!("  {over_rate_key}\n");
    println!("Change the contract, such as the rate of that team:\n");
    println!("  {program} show --platform {platform} > fleet.toml");
    println!("  {program} check fleet.toml");
    println!("  {program} publish fleet.toml --base 1 --platform {platform}");
    println!("  {program} key grant {OVER_RATE_TEAM} --platform {platform}\n");
}
