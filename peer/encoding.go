package peer

import "greengagedock.example/mesh"

// All messages are encoded in a form that allows for more fields; see mesh.RegisterMessage.
// New fields follow the existing ones, and the numbers here never change: they are those of
// the versions that know no other form.
func init() {
	mesh.RegisterMessage[hello](4)
	mesh.RegisterMessage[tunnel](2)
	mesh.RegisterMessage[heartbeat](18)
	mesh.RegisterMessage[knownList](2)
	mesh.RegisterMessage[knownMember](2)
	mesh.RegisterMessage[freeCapacity](7)
	mesh.RegisterMessage[serverWarmth](3)
	mesh.RegisterMessage[slotRequest](11)
	mesh.RegisterMessage[slotReply](9)
	mesh.RegisterMessage[withdraw](1)
	mesh.RegisterMessage[release](3)
	mesh.RegisterMessage[slotDeclaration](2)
	mesh.RegisterMessage[declaredSlot](6)
	mesh.RegisterMessage[pull](1)
	mesh.RegisterMessage[items](1)
	mesh.RegisterMessage[publishedItem](4)
	mesh.RegisterMessage[repeats](1)
	mesh.RegisterMessage[knownRepeat](8)
}
