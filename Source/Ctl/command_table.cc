#include "Ctl/command_table.h"

#include <algorithm>

#include "Ctl/argument_parser.h"
#include "Ctl/declaration_commands.h"
#include "Ctl/diagnosis_commands.h"
#include "Ctl/fleet_commands.h"
#include "Ctl/key_commands.h"
#include "Ctl/task_commands.h"

namespace daisyroad {
namespace {

constexpr char kExitCodes[] =
    "Exit codes:\n"
    "  0  done\n"
    "  1  refused or failed\n"
    "  2  wrong usage\n"
    "  3  conflict: another change won\n"
    "  4  outcome unknown: the request may have been carried out\n"
    "  5  no server reached\n"
    "  6  valid, but with entries that match nothing or contradict others\n";

std::string Synopsis(const Command& command) {
  std::string text;
  for (const std::string& word : command.name) {
    text += (text.empty() ? "" : " ") + word;
  }
  for (const std::string& argument : command.arguments) {
    text += " " + argument;
  }
  return text;
}

bool IsPrefix(const std::vector<std::string>& prefix,
              const std::vector<std::string>& words) {
  return prefix.size() <= words.size() &&
         std::equal(prefix.begin(), prefix.end(), words.begin());
}

std::string CommandHelp(const Command& command) {
  std::string text = "daisyroadctl " + Synopsis(command) + " [options]\n  " +
                     command.summary + "\n";
  for (const std::string& option : command.options) {
    text += OptionHelp(option);
  }
  return text;
}

std::vector<Command> CollectCommands() {
  std::vector<Command> commands = DeclarationCommands();
  for (const std::vector<Command>& group :
       {KeyCommands(), FleetCommands(), TaskCommands(), DiagnosisCommands()}) {
    commands.insert(commands.end(), group.begin(), group.end());
  }
  return commands;
}

}  // namespace

const std::vector<Command>& AllCommands() {
  static const std::vector<Command> kCommands = CollectCommands();
  return kCommands;
}

const Command* FindCommand(const std::vector<std::string>& words) {
  for (const Command& command : AllCommands()) {
    if (IsPrefix(command.name, words)) {
      return &command;
    }
  }
  return nullptr;
}

std::string HelpText() {
  std::size_t width = 0;
  for (const Command& command : AllCommands()) {
    width = std::max(width, Synopsis(command).size());
  }
  std::string text =
      "Operates a site of daisyroad.\n"
      "daisyroadctl SUBCOMMAND [ARGUMENTS] [options]\n\nSubcommands:\n";
  for (const Command& command : AllCommands()) {
    std::string synopsis = Synopsis(command);
    synopsis.resize(width, ' ');
    text += "  " + synopsis + "  " + command.summary + "\n";
  }
  return text + "\nOptions:\n" + CommonOptionsHelp() +
         "\nThe options of a subcommand: daisyroadctl help SUBCOMMAND\n\n" +
         kExitCodes;
}

std::string HelpText(const std::vector<std::string>& words) {
  if (words.empty()) {
    return HelpText();
  }
  std::string text;
  for (const Command& command : AllCommands()) {
    if (IsPrefix(words, command.name) || IsPrefix(command.name, words)) {
      text += CommandHelp(command);
    }
  }
  return text.empty()
             ? text
             : text + "\nOptions:\n" + CommonOptionsHelp() + "\n" + kExitCodes;
}

}  // namespace daisyroad
