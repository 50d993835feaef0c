use std::ops::Range;
use std::rc::Rc;

use crate::contract_reader::{is_within_bounds, read_part};
use crate::dependency_check::has_sound_dependencies;
use crate::text_block::TextBlock;
use crate::{ContractError, FleetContract};

/// The length that two texts are compared by, in bytes.
const CHUNK_LEN: usize = 4_096;

/// Parses texts that follow from one another, reading only the services and teams that changed.
///
/// It gives what [`FleetContract::parse`] gives. Where a change can't be told apart from the rest,
/// or the text has a fault, the whole text is read.
///
/// # Examples
///
/// ```
/// use lentilshift_contract::ContractParser;
///
/// let mut parser = ContractParser::default();
/// parser.parse("fleet.toml", "[services.registry]\n")?;
/// let contract = parser.parse("fleet.toml", "[services.registry]\n[services.filings]\n")?;
/// assert_eq!(contract.services.len(), 2);
/// # Ok::<(), lentilshift_contract::ContractError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct ContractParser {
    passed: Option<PassedText>,
}

/// The last text without a fault.
#[derive(Clone, Debug)]
struct PassedText {
    text: Box<str>,
    blocks: Option<Vec<TextBlock>>,
    contract: Rc<FleetContract>,
}

/// The blocks that a change touches, and their place in the old text and the new.
struct ChangedBlocks {
    blocks: Range<usize>,
    old: Range<usize>,
    new: Range<usize>,
}

impl ContractParser {
    /// Parses and checks the operators' text.
    ///
    /// # Errors
    ///
    /// Returns a [`ContractError`] as [`FleetContract::parse`] does; the next text is then
    /// compared with the last one without a fault.
    pub fn parse(
        &mut self,
        source_name: &str,
        text: &str,
    ) -> Result<Rc<FleetContract>, ContractError> {
        let changed = self.passed.as_mut().and_then(|passed| passed.change(text));
        if let Some(contract) = changed {
            return Ok(contract);
        }
        let contract = Rc::new(FleetContract::parse(source_name, text)?);
        self.passed = Some(PassedText {
            text: text.into(),
            blocks: TextBlock::split(text, 0),
            contract: Rc::clone(&contract),
        });
        Ok(contract)
    }
}

impl PassedText {
    /// Takes in a new text, or returns `None` when it has to be read whole.
    fn change(&mut self, text: &str) -> Option<Rc<FleetContract>> {
        let blocks = self.blocks.as_ref()?;
        let changed = ChangedBlocks::between(&self.text, text, blocks)?;
        let part_text = &text[changed.new.clone()];
        let new_blocks = TextBlock::split(part_text, changed.new.start)?;
        let part = read_part(part_text)?;
        let contract = replace(&self.contract, &blocks[changed.blocks.clone()], part)?;
        let is_sound = has_same_dependencies(&self.contract, &contract)
            || has_sound_dependencies(&contract.services);
        if !is_sound || !is_within_bounds(&contract, text) {
            return None;
        }
        self.take(text, changed, new_blocks);
        self.contract = Rc::new(contract);
        Some(Rc::clone(&self.contract))
    }

    fn take(&mut self, text: &str, changed: ChangedBlocks, new_blocks: Vec<TextBlock>) {
        let blocks = self.blocks.get_or_insert_default();
        for block in &mut blocks[changed.blocks.end..] {
            block.start = block.start + changed.new.end - changed.old.end;
        }
        blocks.splice(changed.blocks, new_blocks);
        self.text = text.into();
    }
}

impl ChangedBlocks {
    fn between(old: &str, new: &str, blocks: &[TextBlock]) -> Option<Self> {
        let (old, new) = (old.as_bytes(), new.as_bytes());
        let head = common_head(old, new);
        let tail = common_tail(&old[head..], &new[head..]);
        let first = blocks.partition_point(|block| block.start <= head);
        let first = first.checked_sub(1)?;
        let last = blocks.partition_point(|block| block.start < old.len() - tail);
        let last = last.max(first + 1);
        let start = blocks[first].start;
        let old_end = blocks.get(last).map_or(old.len(), |block| block.start);
        let new_end = new.len() - (old.len() - old_end);
        let is_whole_lines = new_end == start || new[new_end - 1] == b'\n';
        (is_whole_lines || old_end == old.len()).then_some(Self {
            blocks: first..last,
            old: start..old_end,
            new: start..new_end,
        })
    }
}

/// Puts other services and teams in the place of those of some blocks, or returns `None` when one
/// of them stands elsewhere too.
fn replace(
    old: &FleetContract,
    blocks: &[TextBlock],
    part: FleetContract,
) -> Option<FleetContract> {
    let mut contract = old.clone();
    for block in blocks {
        block.remove_from(&mut contract);
    }
    let len = contract.services.len() + part.services.len();
    let team_len = contract.teams.len() + part.teams.len();
    contract.services.extend(part.services);
    contract.teams.extend(part.teams);
    let is_apart = contract.services.len() == len && contract.teams.len() == team_len;
    is_apart.then_some(contract)
}

fn has_same_dependencies(old: &FleetContract, new: &FleetContract) -> bool {
    let old = old
        .services
        .iter()
        .map(|(name, service)| (name, &service.depends_on));
    let new = new
        .services
        .iter()
        .map(|(name, service)| (name, &service.depends_on));
    old.eq(new)
}

/// Returns how many bytes two texts have in common at their start.
fn common_head(old: &[u8], new: &[u8]) -> usize {
    let chunks = old.chunks(CHUNK_LEN).zip(new.chunks(CHUNK_LEN));
    let same = chunks.take_while(|(left, right)| left == right);
    let start: usize = same.map(|(chunk, _)| chunk.len()).sum();
    let bytes = old[start..].iter().zip(&new[start..]);
    start + bytes.take_while(|(left, right)| left == right).count()
}

/// Returns how many bytes two texts have in common at their end.
fn common_tail(old: &[u8], new: &[u8]) -> usize {
    let chunks = old.rchunks(CHUNK_LEN).zip(new.rchunks(CHUNK_LEN));
    let same = chunks.take_while(|(left, right)| left == right);
    let end: usize = same.map(|(chunk, _)| chunk.len()).sum();
    let (old, new) = (&old[..old.len() - end], &new[..new.len() - end]);
    let bytes = old.iter().rev().zip(new.iter().rev());
    end + bytes.take_while(|(left, right)| left == right).count()
}
